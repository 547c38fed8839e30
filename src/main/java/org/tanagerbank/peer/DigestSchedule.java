package org.tanagerbank.peer;

/**
 * Decides when an instance sends digests.
 *
 * <p>Decision logic without I/O. Not thread-safe; confined to one thread.
 */
public final class DigestSchedule {
  /**
   * The minimum time between two regular digests. The interval grows with the number of peers,
   * which bounds the work of sending and receiving digests.
   */
  private static final long MIN_INTERVAL_MILLIS = 40;

  private static final long INTERVAL_PER_PEER_MILLIS = 10;

  /** Bounds the digests of instances that answer each other's trial claims. */
  private static final long MIN_URGENT_INTERVAL_MILLIS = 10;

  /**
   * The time after which a digest is due although nothing has changed, so that peers detect that
   * the sender is alive.
   */
  private static final long KEEP_ALIVE_MILLIS = 400;

  private long sentAtMillis;

  /** Returns the time in milliseconds between two regular digests. */
  public static long intervalMillis(int livePeers) {
    return Math.max(MIN_INTERVAL_MILLIS, livePeers * INTERVAL_PER_PEER_MILLIS);
  }

  /** Records that a digest was sent. */
  public void recordSent(long nowMillis) {
    sentAtMillis = nowMillis;
  }

  /** Returns whether a digest is due although nothing has changed. */
  public boolean isKeepAliveDue(long nowMillis) {
    return nowMillis - sentAtMillis >= KEEP_ALIVE_MILLIS;
  }

  /** Returns the time in milliseconds after which a digest with urgent news may be sent. */
  public long urgentDelayMillis(long nowMillis) {
    return Math.max(0, sentAtMillis + MIN_URGENT_INTERVAL_MILLIS - nowMillis);
  }
}
