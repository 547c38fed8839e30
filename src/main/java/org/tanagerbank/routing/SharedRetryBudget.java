package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * Limits the retries of one instance so that those of all instances together keep a rule about
 * every sliding window of what a service receives.
 *
 * <p>Invariant: in each window, the retries that may arrive at the service do not exceed the ratio
 * of half the requests in that window and half the requests in the window before it, plus the share
 * of this instance. Both numbers of requests are sums over instances, so the bounds of the
 * instances add up to the bound of the fleet, which a maximum of windows would not: two instances
 * may have their maximum in different windows. The mean of two windows is never above the larger
 * one. If the shares add up to the fixed number of retries of the fleet, the retries of the fleet
 * never exceed the ratio of the requests in the larger of the two windows plus that number.
 *
 * <p>A retry is taken only if the invariant also holds in all later windows that contain it when no
 * more requests come. It counts in each window in which it may arrive. A request counts only in
 * windows that contain it although its caller sent it somewhat earlier. Times are rounded to slots,
 * retries to more windows and requests to fewer.
 *
 * <p>Memory and the time of a call are bounded by the number of slots. Not thread-safe.
 */
public final class SharedRetryBudget {
  private static final int SLOTS_PER_WINDOW = 200;

  /**
   * The weight of the window that a retry is in; the window before it has the rest. With equal
   * weights, a sudden burst of requests is as good for retries as one that has just ended.
   */
  private static final double CURRENT_WINDOW_WEIGHT = 0.5;

  private final double ratio;
  private final long slotMillis;
  private final long connectSlots;
  private final long networkSlots;
  private final SlotCounts requests;

  /** Retries by the slot in which they arrive at the latest. */
  private final SlotCounts retries;

  /** A retry that was taken from the budget. Compared by identity. */
  public static final class Permit {
    /** The slot in which the retry arrives at the latest. */
    private long latestSlot;

    private Permit(long latestSlot) {
      this.latestSlot = latestSlot;
    }
  }

  /**
   * Creates a budget.
   *
   * @param ratio the number of retries allowed for each request
   * @param windowMillis the length of a window in milliseconds, a multiple of 200
   * @param connectMillis the longest time from taking a retry to sending it
   * @param networkMillis the longest time from sending a retry to its arrival, and from the send of
   *     a request by its caller to its record here
   */
  public SharedRetryBudget(
      double ratio, long windowMillis, long connectMillis, long networkMillis) {
    checkArgument(ratio >= 0, "ratio must not be negative: %s", ratio);
    checkArgument(
        windowMillis > 0 && windowMillis % SLOTS_PER_WINDOW == 0,
        "window must be a positive multiple of 200 ms: %s",
        windowMillis);
    this.ratio = ratio;
    this.slotMillis = windowMillis / SLOTS_PER_WINDOW;
    this.connectSlots = slotsToCover(connectMillis);
    this.networkSlots = slotsToCover(networkMillis);
    this.requests = new SlotCounts(2 * SLOTS_PER_WINDOW + 1);
    this.retries = new SlotCounts(SLOTS_PER_WINDOW + (int) (connectSlots + networkSlots) + 1);
  }

  private long slotsToCover(long millis) {
    return (millis + slotMillis - 1) / slotMillis;
  }

  /** Records a request that was received from a caller. */
  public void recordRequest(long nowMillis) {
    requests.add(slot(nowMillis), 1);
  }

  /**
   * Takes one retry from the budget, or returns empty when the budget is exhausted.
   *
   * @param share the number of retries in a window that this instance may send without requests
   */
  public Optional<Permit> tryAcquire(long nowMillis, double share) {
    long now = slot(nowMillis);
    if (!hasRoom(now, share)) {
      return Optional.empty();
    }
    long latest = now + connectSlots + networkSlots;
    retries.add(latest, 1);
    return Optional.of(new Permit(latest));
  }

  /**
   * Records that a retry is sent now, so that it counts no longer than it must. Returns false if it
   * is too late for this retry; it must then be released instead.
   */
  public boolean recordSent(Permit permit, long nowMillis) {
    long latest = slot(nowMillis) + networkSlots;
    if (latest > permit.latestSlot) {
      return false;
    }
    retries.add(permit.latestSlot, -1);
    retries.add(latest, 1);
    permit.latestSlot = latest;
    return true;
  }

  /** Returns a retry that was not sent to the budget. */
  public void release(Permit permit) {
    retries.add(permit.latestSlot, -1);
  }

  /** Returns whether one more retry keeps the invariant in all windows that may contain it. */
  private boolean hasRoom(long now, double share) {
    long window = SLOTS_PER_WINDOW;
    long margin = networkSlots + 1;
    long latest = now + connectSlots + networkSlots;
    int current = requests.sum(now - window + margin, now);
    int previous = requests.sum(now - 2 * window + margin, now - window - 1);
    int arriving = retries.sum(now - window, latest);
    for (long end = now; end <= latest + window; end++) {
      double counted = CURRENT_WINDOW_WEIGHT * current + (1 - CURRENT_WINDOW_WEIGHT) * previous;
      if (arriving + 1 > ratio * counted + share) {
        return false;
      }
      current -= requests.get(end - window + margin);
      previous += requests.get(end - window) - requests.get(end - 2 * window + margin);
      arriving -= retries.get(end - window);
    }
    return true;
  }

  private long slot(long nowMillis) {
    return Math.floorDiv(nowMillis, slotMillis);
  }
}
