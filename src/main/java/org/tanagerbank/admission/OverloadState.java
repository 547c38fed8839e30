package org.tanagerbank.admission;

/**
 * Whether a service is in an overload that lasts. Some requests that come at once are no overload,
 * as their wait is over before others would have returned. Not thread-safe.
 */
final class OverloadState {
  /** The time, in milliseconds, for which all waits must be too long before it is an overload. */
  private static final long MIN_LASTING_MILLIS = 500;

  /** The time without a wait that is too long, in milliseconds, after which an overload ends. */
  private static final long END_MILLIS = 2_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long tooLateSinceMillis = NEVER;
  private long lastTooLateMillis = NEVER;
  private boolean isOverloaded;

  /**
   * Records whether all upstreams would respond too late to a request, and returns whether this is
   * an overload.
   */
  boolean record(boolean isTooLate, long nowMillis) {
    if (nowMillis - lastTooLateMillis > END_MILLIS) {
      isOverloaded = false;
      tooLateSinceMillis = NEVER;
    }
    if (!isTooLate) {
      tooLateSinceMillis = NEVER;
      return isOverloaded;
    }
    lastTooLateMillis = nowMillis;
    if (tooLateSinceMillis == NEVER) {
      tooLateSinceMillis = nowMillis;
    }
    isOverloaded |= nowMillis - tooLateSinceMillis >= MIN_LASTING_MILLIS;
    return isOverloaded;
  }
}
