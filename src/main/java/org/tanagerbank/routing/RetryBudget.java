package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the retries of an entry to a fraction of its recent requests, so that failures cannot
 * multiply the load.
 *
 * <p>In any window, the retries do not exceed the ratio of the requests in the window before the
 * last of them, plus a fixed floor. Times are rounded to a hundredth of the window: retries count
 * for up to that much longer, requests for up to that much less. This class does no I/O.
 * Thread-safe.
 */
public final class RetryBudget {
  private static final long DEFAULT_WINDOW_MILLIS = 10_000;
  private static final double DEFAULT_RATIO = 0.1;
  private static final double DEFAULT_FLOOR = 10;
  private static final int SLOTS_PER_WINDOW = 100;

  private final double ratio;
  private final double floor;
  private final long slotMillis;
  private final SlotCounts requests = new SlotCounts(SLOTS_PER_WINDOW + 1);
  private final SlotCounts retries = new SlotCounts(SLOTS_PER_WINDOW + 1);

  /** Creates a budget of 10% of the requests of the last 10 s, plus 10. */
  public RetryBudget() {
    this(DEFAULT_RATIO, DEFAULT_WINDOW_MILLIS, DEFAULT_FLOOR);
  }

  /**
   * Creates a budget.
   *
   * @param ratio the number of retries allowed for each request
   * @param windowMillis the length of the sliding window in milliseconds, a multiple of 100
   * @param floor the number of retries allowed in a window without requests
   */
  public RetryBudget(double ratio, long windowMillis, double floor) {
    checkArgument(
        ratio >= 0 && floor >= 0,
        "ratio and floor must not be negative: ratio %s, floor %s",
        ratio,
        floor);
    checkArgument(
        windowMillis > 0 && windowMillis % SLOTS_PER_WINDOW == 0,
        "window must be a positive multiple of 100 ms: %s",
        windowMillis);
    this.ratio = ratio;
    this.floor = floor;
    this.slotMillis = windowMillis / SLOTS_PER_WINDOW;
  }

  /** Records a request that was received from a caller. */
  public synchronized void recordRequest(long nowMillis) {
    requests.add(slot(nowMillis), 1);
  }

  /**
   * Takes one retry from the budget and returns true, or returns false when the budget is
   * exhausted.
   */
  public synchronized boolean tryAcquire(long nowMillis) {
    long now = slot(nowMillis);
    int requestCount = requests.sum(now - SLOTS_PER_WINDOW + 1, now);
    int retryCount = retries.sum(now - SLOTS_PER_WINDOW, now);
    if (retryCount + 1 > requestCount * ratio + floor) {
      return false;
    }
    retries.add(now, 1);
    return true;
  }

  private long slot(long nowMillis) {
    return Math.floorDiv(nowMillis, slotMillis);
  }
}
