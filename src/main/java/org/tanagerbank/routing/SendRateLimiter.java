package org.tanagerbank.routing;

/**
 * A token bucket that limits how often a value is sent.
 *
 * <p>A changed value is sent immediately while the bucket holds a token; the bucket limits sends to
 * an average rate with a small burst. An unchanged value is sent again every {@link
 * LoadAggregator#REPEAT_MILLIS}. Not thread-safe; the owner must synchronize access.
 */
final class SendRateLimiter {
  /** The capacity of the token bucket, in sends. */
  private static final double BURST = 4;

  private double perMilli;
  private double tokens = BURST;
  private long refilledAt;
  private long sentAt = Long.MIN_VALUE / 2;
  private long sentValue;

  /** Sets the average rate in sends per second; it must be positive. */
  void setRate(double perSecond) {
    perMilli = perSecond / 1000;
  }

  /** Marks the value as not sent, so that {@link #trySend} sends it as soon as the rate allows. */
  void markUnsent() {
    sentAt = Long.MIN_VALUE / 2;
  }

  /**
   * Returns whether the value is to be sent now, and if so takes a token and records the value as
   * sent.
   */
  boolean trySend(long value, long nowMillis) {
    tokens = Math.min(BURST, tokens + (nowMillis - refilledAt) * perMilli);
    refilledAt = nowMillis;
    boolean pending = value != sentValue || nowMillis - sentAt >= LoadAggregator.REPEAT_MILLIS;
    if (!pending || tokens < 1) {
      return false;
    }
    tokens -= 1;
    sentAt = nowMillis;
    sentValue = value;
    return true;
  }

  /** Returns the time in milliseconds at which the value is to be sent if it does not change. */
  long nextSendMillis(long value, long nowMillis) {
    long repeat = sentAt + LoadAggregator.REPEAT_MILLIS;
    long allowed = nowMillis + (long) Math.ceil(Math.max(0, 1 - tokens) / perMilli);
    return Math.max(nowMillis + 1, Math.max(allowed, value != sentValue ? nowMillis : repeat));
  }
}
