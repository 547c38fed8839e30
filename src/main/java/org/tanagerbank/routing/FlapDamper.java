package org.tanagerbank.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Delays the use of one upstream that repeatedly leaves and returns.
 *
 * <p>The third return within 10 minutes is delayed by 10 s, and each further return by twice the
 * previous delay, up to 5 minutes. Not thread-safe; the owner must synchronize access.
 */
final class FlapDamper {
  private static final long WINDOW_MILLIS = 600_000;
  private static final int UNDELAYED_RETURNS = 2;
  private static final long INITIAL_DELAY_MILLIS = 10_000;
  private static final long MAX_DELAY_MILLIS = 300_000;

  private final Deque<Long> returnTimes = new ArrayDeque<>();

  /** Records a return and returns the time in milliseconds from which the upstream may be used. */
  long recordReturn(long nowMillis) {
    while (!returnTimes.isEmpty() && nowMillis - returnTimes.peekFirst() > WINDOW_MILLIS) {
      returnTimes.removeFirst();
    }
    returnTimes.addLast(nowMillis);
    int excess = returnTimes.size() - UNDELAYED_RETURNS;
    if (excess <= 0) {
      return nowMillis;
    }
    long delayMillis = INITIAL_DELAY_MILLIS << Math.min(excess - 1, 10);
    return nowMillis + Math.min(delayMillis, MAX_DELAY_MILLIS);
  }

  /** Returns whether the upstream has not returned within the window. */
  boolean hasNoRecentReturns(long nowMillis) {
    return returnTimes.isEmpty() || nowMillis - returnTimes.peekLast() > WINDOW_MILLIS;
  }
}
