package org.tanagerbank.admission;

/**
 * The requests of one group that arrived lately, and how many of them were sent. Older ones count
 * less. Not thread-safe.
 */
final class Demand {
  /** The time, in milliseconds, in which the weight of a request falls to 1/e. */
  private static final double DECAY_MILLIS = 5_000;

  /** The weight of arrivals above which a group counts as active: one request in the last 10 s. */
  private static final double MIN_ACTIVE = 0.13;

  private long atMillis;
  private double offered;
  private double sent;
  private double sentWorkMillis;

  void record(boolean isSent, double workMillis, long nowMillis) {
    decayTo(nowMillis);
    offered++;
    if (isSent) {
      sent++;
      sentWorkMillis += workMillis;
    }
  }

  private void decayTo(long nowMillis) {
    if (nowMillis > atMillis) {
      double factor = Math.exp((atMillis - nowMillis) / DECAY_MILLIS);
      offered *= factor;
      sent *= factor;
      sentWorkMillis *= factor;
      atMillis = nowMillis;
    }
  }

  boolean isActive(long nowMillis) {
    decayTo(nowMillis);
    return offered > MIN_ACTIVE;
  }

  /** Returns the share of its requests that was sent, or 1 without requests. */
  double sentShare() {
    return offered > MIN_ACTIVE ? sent / offered : 1;
  }

  /** Returns the weighted work of the requests that were sent, in milliseconds. */
  double sentWorkMillis(long nowMillis) {
    decayTo(nowMillis);
    return sentWorkMillis;
  }
}
