package org.tanagerbank.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides how long one upstream that keeps leaving and returning waits before it is used again.
 *
 * <p>The third return within 10 minutes waits 10 s, and each further one twice as long, up to 5
 * minutes. Not thread-safe; the owner guards it.
 */
final class FlapDamper {
  private static final long WINDOW_MILLIS = 600_000;
  private static final int FREE_RETURNS = 2;
  private static final long FIRST_WAIT_MILLIS = 10_000;
  private static final long LONGEST_WAIT_MILLIS = 300_000;

  private final Deque<Long> returns = new ArrayDeque<>();

  /** Notes a return and returns the time from which the upstream may be used. */
  long returned(long nowMillis) {
    while (!returns.isEmpty() && nowMillis - returns.peekFirst() > WINDOW_MILLIS) {
      returns.removeFirst();
    }
    returns.addLast(nowMillis);
    int excess = returns.size() - FREE_RETURNS;
    if (excess <= 0) {
      return nowMillis;
    }
    long wait = FIRST_WAIT_MILLIS << Math.min(excess - 1, 10);
    return nowMillis + Math.min(wait, LONGEST_WAIT_MILLIS);
  }

  /** Returns whether no return of the window is remembered any more. */
  boolean isSettled(long nowMillis) {
    return returns.isEmpty() || nowMillis - returns.peekLast() > WINDOW_MILLIS;
  }
}
