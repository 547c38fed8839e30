package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the retries of an entry to a fraction of its recent requests, so that failures cannot
 * multiply the load.
 *
 * <p>The budget is a ratio of the requests in a sliding window, plus a fixed floor. This class does
 * no I/O. Thread-safe.
 */
public final class RetryBudget {
  private static final int DEFAULT_WINDOW_SECONDS = 10;
  private static final double DEFAULT_RATIO = 0.1;
  private static final double DEFAULT_FLOOR = 10;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final double ratio;
  private final int windowSeconds;
  private final long[] bucketSecond;
  private final int[] requests;
  private final int[] retries;
  private double floor;

  /** Creates a budget of 10% of the requests of the last 10 s, plus 10. */
  public RetryBudget() {
    this(DEFAULT_RATIO, DEFAULT_WINDOW_SECONDS * MILLIS_PER_SECOND, DEFAULT_FLOOR);
  }

  /**
   * Creates a budget.
   *
   * @param ratio the number of retries allowed for each request
   * @param windowMillis the length of the sliding window in milliseconds, rounded down to whole
   *     seconds
   * @param floor the number of retries allowed in a window without requests
   */
  public RetryBudget(double ratio, long windowMillis, double floor) {
    checkArgument(
        ratio >= 0 && floor >= 0,
        "ratio and floor must not be negative: ratio %s, floor %s",
        ratio,
        floor);
    checkArgument(
        windowMillis >= MILLIS_PER_SECOND, "window must be at least 1000 ms: %s", windowMillis);
    this.ratio = ratio;
    this.floor = floor;
    this.windowSeconds = (int) (windowMillis / MILLIS_PER_SECOND);
    this.bucketSecond = new long[windowSeconds];
    this.requests = new int[windowSeconds];
    this.retries = new int[windowSeconds];
  }

  /** Sets the number of retries allowed in a window without requests. */
  public synchronized void setFloor(double retriesPerWindow) {
    floor = retriesPerWindow;
  }

  /** Records a request that was received from a caller. */
  public synchronized void recordRequest(long nowMillis) {
    requests[bucket(nowMillis)]++;
  }

  /**
   * Takes one retry from the budget and returns true, or returns false when the budget is
   * exhausted.
   */
  public synchronized boolean tryAcquire(long nowMillis) {
    int bucket = bucket(nowMillis);
    long nowSeconds = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
    int requestCount = 0;
    int retryCount = 0;
    for (int i = 0; i < windowSeconds; i++) {
      boolean isRecent = nowSeconds - bucketSecond[i] < windowSeconds;
      requestCount += isRecent ? requests[i] : 0;
      retryCount += isRecent ? retries[i] : 0;
    }
    if (retryCount >= requestCount * ratio + floor) {
      return false;
    }
    retries[bucket]++;
    return true;
  }

  private int bucket(long nowMillis) {
    long nowSeconds = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
    int bucket = (int) Math.floorMod(nowSeconds, (long) windowSeconds);
    if (bucketSecond[bucket] != nowSeconds) {
      bucketSecond[bucket] = nowSeconds;
      requests[bucket] = 0;
      retries[bucket] = 0;
    }
    return bucket;
  }
}
