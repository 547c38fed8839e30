package org.tanagerbank.gateway;

/**
 * Decides when a planned stop refuses requests, closes connections and ends the process.
 *
 * <p>At first all requests are accepted while the platform directs new connections to other
 * instances. Then requests that may last beyond the end of the process are refused, and connections
 * without a request are closed. The process ends when no request is in flight or the grace time is
 * nearly over. Immutable and thread-safe.
 */
final class DrainPlan {
  /** Interval between decisions on the next step. */
  static final long CHECK_INTERVAL_MILLIS = 100;

  /**
   * Time until the platform sends no new connections: it checks readiness once a second and takes
   * the instance out of rotation after two failed checks.
   */
  private static final long ROTATION_REMOVAL_MILLIS = 2_500;

  /** Part of the grace time that is reserved for shutting down the process. */
  private static final long SHUTDOWN_RESERVE_MILLIS = 700;

  /** The next step of a planned stop. */
  enum Step {
    /** Serve requests as before and decide again later. */
    WAIT,
    /** Close the connections that have no request in progress. */
    CLOSE_IDLE,
    /** End the process. */
    END
  }

  private final long outOfRotationAtMillis;
  private final long deadlineMillis;

  private DrainPlan(long outOfRotationAtMillis, long deadlineMillis) {
    this.outOfRotationAtMillis = outOfRotationAtMillis;
    this.deadlineMillis = deadlineMillis;
  }

  /**
   * Returns the plan of a stop that starts now.
   *
   * @param graceMillis the longest time that the stop may take
   */
  static DrainPlan startingAt(long nowMillis, long graceMillis) {
    long deadlineMillis = nowMillis + Math.max(0, graceMillis - SHUTDOWN_RESERVE_MILLIS);
    return new DrainPlan(
        Math.min(nowMillis + ROTATION_REMOVAL_MILLIS, deadlineMillis), deadlineMillis);
  }

  /** Returns whether a request is accepted that may last up to {@code maxDurationMillis}. */
  boolean acceptsRequest(long nowMillis, long maxDurationMillis) {
    return nowMillis < outOfRotationAtMillis || nowMillis + maxDurationMillis < deadlineMillis;
  }

  /** Returns whether the process must end even if requests are in flight. */
  boolean isPastDeadline(long nowMillis) {
    return nowMillis >= deadlineMillis;
  }

  /** Returns the next step of the stop. */
  Step nextStep(long nowMillis, int requestsInFlight) {
    if (isPastDeadline(nowMillis)) {
      return Step.END;
    }
    if (nowMillis < outOfRotationAtMillis) {
      return Step.WAIT;
    }
    return requestsInFlight == 0 && nowMillis >= outOfRotationAtMillis + CHECK_INTERVAL_MILLIS
        ? Step.END
        : Step.CLOSE_IDLE;
  }
}
