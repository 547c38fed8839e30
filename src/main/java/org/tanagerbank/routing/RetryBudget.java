package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the retries of an entry to a share of its recent requests, so that failures cannot
 * multiply load.
 *
 * <p>Allows a ratio of the requests of a sliding window, plus a floor. Pure decision code,
 * thread-safe.
 */
public final class RetryBudget {
  private static final int DEFAULT_SECONDS = 10;
  private static final double DEFAULT_RATIO = 0.1;
  private static final double DEFAULT_FLOOR = 10;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final double ratio;
  private final int seconds;
  private final long[] second;
  private final int[] requests;
  private final int[] retries;
  private double floor;

  /** Returns a budget of 10% of the requests of the last 10 s, plus 10. */
  public RetryBudget() {
    this(DEFAULT_RATIO, DEFAULT_SECONDS * MILLIS_PER_SECOND, DEFAULT_FLOOR);
  }

  /**
   * Returns a budget.
   *
   * @param ratio the retries allowed for each request
   * @param windowMillis the length of the sliding window, counted in whole seconds
   * @param floor the retries allowed in a window without requests
   */
  public RetryBudget(double ratio, long windowMillis, double floor) {
    checkArgument(ratio >= 0 && floor >= 0, "ratio %s, floor %s", ratio, floor);
    checkArgument(windowMillis >= MILLIS_PER_SECOND, "window %s", windowMillis);
    this.ratio = ratio;
    this.floor = floor;
    this.seconds = (int) (windowMillis / MILLIS_PER_SECOND);
    this.second = new long[seconds];
    this.requests = new int[seconds];
    this.retries = new int[seconds];
  }

  /** Changes the retries allowed in a window without requests. */
  public synchronized void setFloor(double retriesPerWindow) {
    floor = retriesPerWindow;
  }

  /** Notes a request that came from a caller. */
  public synchronized void requested(long nowMillis) {
    requests[bucket(nowMillis)]++;
  }

  /** Takes one retry from the budget, or returns false when none is left. */
  public synchronized boolean tryRetry(long nowMillis) {
    int bucket = bucket(nowMillis);
    long now = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
    int asked = 0;
    int used = 0;
    for (int i = 0; i < seconds; i++) {
      boolean recent = now - second[i] < seconds;
      asked += recent ? requests[i] : 0;
      used += recent ? retries[i] : 0;
    }
    if (used >= asked * ratio + floor) {
      return false;
    }
    retries[bucket]++;
    return true;
  }

  private int bucket(long nowMillis) {
    long now = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
    int bucket = (int) Math.floorMod(now, (long) seconds);
    if (second[bucket] != now) {
      second[bucket] = now;
      requests[bucket] = 0;
      retries[bucket] = 0;
    }
    return bucket;
  }
}
