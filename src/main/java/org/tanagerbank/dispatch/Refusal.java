package org.tanagerbank.dispatch;

/**
 * A response that the router generates itself instead of forwarding one of an upstream. Immutable.
 *
 * @param status the HTTP status
 * @param retryAfterMillis the time in milliseconds after which the caller may retry, or 0 to send
 *     no such time
 * @param reason the reason that is written to the log and to the response body
 */
record Refusal(int status, long retryAfterMillis, String reason) {
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_TIMEOUT = 504;

  /** The reason for the refusal of a request that crashes upstreams. */
  static final String QUARANTINED = "the request crashed several upstreams";

  /** The time to connect to another instance, in milliseconds. */
  private static final long OTHER_INSTANCE_RETRY_MILLIS = 20;

  /** The time for the platform or an upstream to recover, in milliseconds. */
  private static final long RECOVERY_RETRY_MILLIS = 300;

  /** Returns the reason as a metric label, which takes one of a few values. */
  String metricReason() {
    return switch (status) {
      case STATUS_UNAVAILABLE -> reason.equals(QUARANTINED) ? "quarantined" : "not run";
      case STATUS_BAD_GATEWAY -> "may have run";
      default -> reason;
    };
  }

  /** Returns the refusal of a request without an id, or with several. */
  static Refusal noRequestId() {
    return new Refusal(STATUS_BAD_REQUEST, 0, "the request does not have exactly one id");
  }

  static Refusal noRoute() {
    return new Refusal(STATUS_NOT_FOUND, 0, "no route");
  }

  static Refusal unknownKey() {
    return new Refusal(STATUS_UNAUTHORIZED, 0, "unknown key");
  }

  /** Returns the refusal of a stopping instance; another instance accepts the request at once. */
  static Refusal instanceStopping() {
    return new Refusal(STATUS_UNAVAILABLE, OTHER_INSTANCE_RETRY_MILLIS, "the instance is stopping");
  }

  /** Returns the refusal of a request that did not run and will not run. */
  static Refusal notRun(String reason) {
    return new Refusal(STATUS_UNAVAILABLE, RECOVERY_RETRY_MILLIS, reason);
  }

  /**
   * Returns the refusal of a request that did not run and will not, because it crashes upstreams.
   */
  static Refusal quarantined(long retryAfterMillis) {
    return new Refusal(STATUS_UNAVAILABLE, retryAfterMillis, QUARANTINED);
  }

  /** Returns the refusal of a request that may have run without a response to forward. */
  static Refusal mayHaveRun(String reason) {
    return new Refusal(STATUS_BAD_GATEWAY, 0, reason);
  }

  /** Returns the refusal of a request that was sent and exceeded its time limit. */
  static Refusal timedOut() {
    return new Refusal(STATUS_TIMEOUT, 0, "timeout");
  }
}
