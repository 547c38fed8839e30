package org.tanagerbank.routing;

/**
 * Limits how often a value is sent: at once when it changes, up to an average rate with a small
 * burst, and repeated when it does not change.
 *
 * <p>Not thread-safe; the owner guards it.
 */
final class Pacer {
  private static final double BURST = 4;

  private double perMilli;
  private double tokens = BURST;
  private long refilledAt;
  private long sentAt = Long.MIN_VALUE / 2;
  private long sentValue;

  /** Sets the average rate in sends per second. */
  void rate(double perSecond) {
    perMilli = perSecond / 1000;
  }

  /** Makes the next call of {@link #due} send when the rate allows it. */
  void sendSoon() {
    sentAt = Long.MIN_VALUE / 2;
  }

  /** Returns whether the value is to be sent now, and counts it as sent when it is. */
  boolean due(long value, long nowMillis) {
    tokens = Math.min(BURST, tokens + (nowMillis - refilledAt) * perMilli);
    refilledAt = nowMillis;
    boolean wanted = value != sentValue || nowMillis - sentAt >= LoadAggregator.REPEAT_MILLIS;
    if (!wanted || tokens < 1) {
      return false;
    }
    tokens -= 1;
    sentAt = nowMillis;
    sentValue = value;
    return true;
  }

  /** Returns when the value is to be sent if it stays as it is. */
  long next(long value, long nowMillis) {
    long repeat = sentAt + LoadAggregator.REPEAT_MILLIS;
    long allowed = nowMillis + (long) Math.ceil(Math.max(0, 1 - tokens) / perMilli);
    return Math.max(nowMillis + 1, Math.max(allowed, value != sentValue ? nowMillis : repeat));
  }
}
