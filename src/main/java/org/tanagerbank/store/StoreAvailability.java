package org.tanagerbank.store;

import java.util.function.LongSupplier;

/**
 * What a follower of a topic knows of the availability of the store, from its own calls and from
 * other instances. Tells a listener of each outage and of its end. Confined to one thread.
 */
final class StoreAvailability {
  /** An outage that ended longer ago than this no longer makes records doubtful. */
  private static final long RECENT_OUTAGE_MILLIS = 5_000;

  /** The end times that different instances observe for one outage differ by at most this. */
  private static final long SAME_OUTAGE_MILLIS = 1_000;

  private final TopicListener listener;
  private final LongSupplier clockMillis;
  private long regainedAtMillis = Long.MIN_VALUE / 2;
  private boolean isLost;

  StoreAvailability(TopicListener listener, LongSupplier clockMillis) {
    this.listener = listener;
    this.clockMillis = clockMillis;
  }

  boolean isLost() {
    return isLost;
  }

  /** Returns how long ago the latest outage ended that made records doubtful, in milliseconds. */
  long sinceOutageMillis() {
    return clockMillis.getAsLong() - regainedAtMillis;
  }

  /** Records that the store does not answer, or that it lost records. */
  void recordLost(String reason) {
    if (!isLost) {
      isLost = true;
      listener.onStoreLost(reason);
    }
  }

  /** Records that the store answered a call of this instance. */
  void recordAnswered() {
    recordAnsweredSince(clockMillis.getAsLong());
  }

  /**
   * Records that the store answered another instance, which saw an outage some time ago. The store
   * turned away this instance alone since then. A recent outage that only the other instance
   * observed counts like one that this instance observed, because the records are as doubtful.
   */
  void recordAnsweredOther(long sinceOutageMillis) {
    long now = clockMillis.getAsLong();
    long endMillis = now - sinceOutageMillis;
    recordAnsweredSince(endMillis);
    if (sinceOutageMillis < RECENT_OUTAGE_MILLIS
        && endMillis > regainedAtMillis + SAME_OUTAGE_MILLIS) {
      regainedAtMillis = endMillis;
      listener.onStoreRegained(endMillis);
    }
  }

  private void recordAnsweredSince(long millis) {
    if (isLost) {
      isLost = false;
      regainedAtMillis = Math.max(regainedAtMillis, millis);
      listener.onStoreRegained(regainedAtMillis);
    }
  }
}
