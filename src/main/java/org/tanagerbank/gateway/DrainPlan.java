package org.tanagerbank.gateway;

/**
 * When a planned stop refuses requests, closes connections and ends. Immutable decision code.
 *
 * <p>First callers go on as before while the platform moves new connections elsewhere; then
 * requests that may last longer than the process are refused and connections that wait for a
 * request are closed; the process ends when no request is left or the grace time is nearly over.
 */
final class DrainPlan {
  /** How often the next step is decided. */
  static final long CHECK_MILLIS = 100;

  /** The platform asks once a second and takes two misses. */
  private static final long ROTATION_MILLIS = 2_500;

  /** Left of the grace time for closing down. */
  private static final long CLOSING_MILLIS = 700;

  /** What to do next. */
  enum Step {
    WAIT,
    CLOSE_IDLE,
    END
  }

  private final long rotatedOutAt;
  private final long endAt;

  private DrainPlan(long rotatedOutAt, long endAt) {
    this.rotatedOutAt = rotatedOutAt;
    this.endAt = endAt;
  }

  static DrainPlan begin(long nowMillis, long graceMillis) {
    long end = nowMillis + Math.max(0, graceMillis - CLOSING_MILLIS);
    return new DrainPlan(Math.min(nowMillis + ROTATION_MILLIS, end), end);
  }

  /** Returns whether a request that may last for a time is still taken. */
  boolean accepts(long nowMillis, long longestMillis) {
    return nowMillis < rotatedOutAt || nowMillis + longestMillis < endAt;
  }

  /** Returns whether the process must end although requests are left. */
  boolean isOver(long nowMillis) {
    return nowMillis >= endAt;
  }

  Step next(long nowMillis, int requestsInFlight) {
    if (isOver(nowMillis)) {
      return Step.END;
    }
    if (nowMillis < rotatedOutAt) {
      return Step.WAIT;
    }
    return requestsInFlight == 0 && nowMillis >= rotatedOutAt + CHECK_MILLIS
        ? Step.END
        : Step.CLOSE_IDLE;
  }
}
