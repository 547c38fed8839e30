package org.tanagerbank.routing;

/**
 * Limits the retries of an entry to a share of its recent requests, so that failures cannot
 * multiply load.
 *
 * <p>Allows 10% of the requests of the last 10 s, plus 10. Pure decision code, thread-safe.
 */
public final class RetryBudget {
  private static final int SECONDS = 10;
  private static final double RATIO = 0.1;
  private static final int FLOOR = 10;

  private final long[] second = new long[SECONDS];
  private final int[] requests = new int[SECONDS];
  private final int[] retries = new int[SECONDS];

  /** Notes a request that came from a caller. */
  public synchronized void requested(long nowMillis) {
    requests[bucket(nowMillis)]++;
  }

  /** Takes one retry from the budget, or returns false when none is left. */
  public synchronized boolean tryRetry(long nowMillis) {
    int bucket = bucket(nowMillis);
    long now = Math.floorDiv(nowMillis, 1000L);
    int asked = 0;
    int used = 0;
    for (int i = 0; i < SECONDS; i++) {
      boolean recent = now - second[i] < SECONDS;
      asked += recent ? requests[i] : 0;
      used += recent ? retries[i] : 0;
    }
    if (used >= asked * RATIO + FLOOR) {
      return false;
    }
    retries[bucket]++;
    return true;
  }

  private int bucket(long nowMillis) {
    long now = Math.floorDiv(nowMillis, 1000L);
    int bucket = (int) Math.floorMod(now, (long) SECONDS);
    if (second[bucket] != now) {
      second[bucket] = now;
      requests[bucket] = 0;
      retries[bucket] = 0;
    }
    return bucket;
  }
}
