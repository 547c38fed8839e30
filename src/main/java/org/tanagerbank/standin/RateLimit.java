package org.tanagerbank.standin;

/**
 * A token bucket with a capacity of the tokens of one second, but at least one token.
 *
 * <p>Not thread-safe.
 */
final class RateLimit {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A tolerance that prevents rounding errors from adding a millisecond to the wait. */
  private static final double EPSILON = 1e-9;

  private final double perSecond;
  private final double capacity;
  private double tokens;
  private long updatedAtMillis;

  RateLimit(double perSecond, long nowMillis) {
    this.perSecond = perSecond;
    this.capacity = Math.max(1, perSecond);
    this.tokens = capacity;
    this.updatedAtMillis = nowMillis;
  }

  /** Takes a token and returns 0, or returns the time in milliseconds until one is available. */
  long acquire(long nowMillis) {
    double gained = Math.max(0, nowMillis - updatedAtMillis) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.min(capacity, tokens + gained);
    updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    if (tokens >= 1 - EPSILON) {
      tokens--;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - EPSILON - tokens) * MILLIS_PER_SECOND / perSecond));
  }
}
