package org.tanagerbank.dispatch;

import java.util.random.RandomGenerator;
import org.tanagerbank.admission.AdmissionDecision;

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
  static final String QUARANTINED = "the request or a part of its prompt crashed several upstreams";

  /** The reason for the refusal of a request while a part of its prompt is on trial. */
  static final String ON_TRIAL = "a part of the prompt may crash upstreams and is on trial";

  /** The reason for the refusal of a request while upstreams of its service take none. */
  static final String UPSTREAMS_BUSY =
      "upstreams of the service have asked for a pause or fewer requests";

  /** The reason for the refusal of a request to which no upstream can respond in its time. */
  static final String NO_TIME = "no upstream is expected to respond before the time limit";

  /** The reason for the refusal of a request in an overload. */
  static final String OVERLOAD =
      "the service is overloaded, and others are more urgent or had less";

  /** The reason for the refusal of a request that no upstream in its home regions can run. */
  static final String NONE_IN_HOME_REGIONS = "no upstream of the service is in the home regions";

  /** The reason for the refusal of a request while its upstreams are in evacuated zones. */
  static final String UPSTREAMS_EVACUATED =
      "all upstreams that could run the request are in evacuated zones";

  /** The reason for the refusal of a request while upstreams of its service are cold. */
  static final String UPSTREAMS_COLD = "upstreams of the service are cold and take few requests";

  /**
   * The longest time in milliseconds until callers return that cold upstreams have no room for. One
   * of many instances has room rarely, but the caller may come to another one.
   */
  private static final long MAX_COLD_RETRY_MILLIS = 2_000;

  /**
   * The shortest and the longest time, in milliseconds, over which callers are spread that were
   * refused in a pause or by a limit. They return over as long a time as they were refused, so that
   * they are no wave, but not so late that they give up.
   */
  private static final long MIN_SPREAD_MILLIS = 300;

  private static final long MAX_SPREAD_MILLIS = 1_000;

  /** The time to connect to another instance, in milliseconds. */
  private static final long OTHER_INSTANCE_RETRY_MILLIS = 20;

  /** The time for the platform or an upstream to recover, in milliseconds. */
  private static final long RECOVERY_RETRY_MILLIS = 300;

  /** Returns the reason as a metric label, which takes one of a few values. */
  String metricReason() {
    return switch (status) {
      case STATUS_UNAVAILABLE ->
          switch (reason) {
            case QUARANTINED -> "quarantined";
            case ON_TRIAL -> "on trial";
            case UPSTREAMS_BUSY -> "upstreams paused";
            case NO_TIME -> "no time";
            case OVERLOAD -> "overload";
            case UPSTREAMS_EVACUATED -> "zones evacuated";
            case NONE_IN_HOME_REGIONS -> "home regions";
            case UPSTREAMS_COLD -> "upstreams cold";
            default -> "not run";
          };
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
   * Returns the refusal of a request for which no upstream has room while some pause or are
   * limited.
   *
   * @param millisUntilRoom the time until the first of them takes requests again, in milliseconds
   */
  static Refusal upstreamsBusy(long millisUntilRoom, RandomGenerator random) {
    return withSpread(millisUntilRoom, UPSTREAMS_BUSY, random);
  }

  /**
   * Returns the refusal of a request for which no upstream has room while some are cold.
   *
   * @param millisUntilRoom the time until the first of them takes a request, in milliseconds
   */
  static Refusal upstreamsCold(long millisUntilRoom, RandomGenerator random) {
    return withSpread(Math.min(MAX_COLD_RETRY_MILLIS, millisUntilRoom), UPSTREAMS_COLD, random);
  }

  private static Refusal withSpread(long millisUntilRoom, String reason, RandomGenerator random) {
    long spread = Math.max(MIN_SPREAD_MILLIS, Math.min(MAX_SPREAD_MILLIS, millisUntilRoom));
    return new Refusal(STATUS_UNAVAILABLE, millisUntilRoom + random.nextLong(spread), reason);
  }

  /** Returns the refusal of a request that is not admitted. */
  static Refusal notAdmitted(AdmissionDecision decision) {
    String reason = decision.verdict() == AdmissionDecision.Verdict.NO_TIME ? NO_TIME : OVERLOAD;
    return new Refusal(STATUS_UNAVAILABLE, decision.retryAfterMillis(), reason);
  }

  /**
   * Returns the refusal of a request whose upstreams are all in evacuated zones. It is not known
   * when a zone returns.
   */
  static Refusal upstreamsEvacuated(RandomGenerator random) {
    return new Refusal(
        STATUS_UNAVAILABLE,
        RECOVERY_RETRY_MILLIS + random.nextLong(MAX_SPREAD_MILLIS),
        UPSTREAMS_EVACUATED);
  }

  /**
   * Returns the refusal of a request that did not run and will not, because it crashes upstreams.
   */
  static Refusal quarantined(long retryAfterMillis) {
    return new Refusal(STATUS_UNAVAILABLE, retryAfterMillis, QUARANTINED);
  }

  /**
   * Returns the refusal of a request that did not run, because another one decides whether a part
   * of its prompt crashes upstreams.
   *
   * @param decidedAfterMillis the time in milliseconds until that is known
   */
  static Refusal onTrial(long decidedAfterMillis, RandomGenerator random) {
    return new Refusal(
        STATUS_UNAVAILABLE, decidedAfterMillis + random.nextLong(MAX_SPREAD_MILLIS), ON_TRIAL);
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
