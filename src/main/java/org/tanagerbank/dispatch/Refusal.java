package org.tanagerbank.dispatch;

/**
 * Why a request is answered by the router itself. Immutable.
 *
 * @param status the HTTP status
 * @param retryAfterMillis when the caller may come back, or 0 to say nothing
 * @param reason for the log and the body of the response
 */
record Refusal(int status, long retryAfterMillis, String reason) {
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_TIMEOUT = 504;

  /** Time to connect to another instance. */
  private static final long ELSEWHERE_MILLIS = 20;

  /** Time for the platform or an upstream to come back. */
  private static final long SHORT_RETRY_MILLIS = 300;

  /** Returns the reason for metrics, which has few values. */
  String kind() {
    return switch (status) {
      case STATUS_UNAVAILABLE -> "not run";
      case STATUS_BAD_GATEWAY -> "may have run";
      default -> reason;
    };
  }

  static Refusal noRoute() {
    return new Refusal(STATUS_NOT_FOUND, 0, "no route");
  }

  static Refusal unknownKey() {
    return new Refusal(STATUS_UNAUTHORIZED, 0, "unknown key");
  }

  /** Another instance takes the request at once. */
  static Refusal leaving() {
    return new Refusal(STATUS_UNAVAILABLE, ELSEWHERE_MILLIS, "the instance is stopping");
  }

  /** The request did not run and will not run. */
  static Refusal notRun(String reason) {
    return new Refusal(STATUS_UNAVAILABLE, SHORT_RETRY_MILLIS, reason);
  }

  /** The request may have run, and there is no answer of the upstream to pass on. */
  static Refusal mayHaveRun(String reason) {
    return new Refusal(STATUS_BAD_GATEWAY, 0, reason);
  }

  /** The time is over and the request may have run. */
  static Refusal timedOut() {
    return new Refusal(STATUS_TIMEOUT, 0, "timeout");
  }
}
