package org.tanagerbank.dispatch;

import java.util.function.BooleanSupplier;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.route.Route;

/**
 * Decides whether a request is sent to another upstream after an attempt.
 *
 * <p>A request goes elsewhere only when it did not run or may be repeated. Stateless decision code,
 * thread-safe.
 */
final class RetryPolicy {
  /**
   * Attempts that reached no upstream are bounded apart, because a route's attempts count sends.
   */
  private static final int MAX_CONNECT_FAILURES = 3;

  /** With less time than this left, no upstream answers before the caller gives up. */
  private static final long MIN_TIME_LEFT_MILLIS = 40;

  private RetryPolicy() {}

  /**
   * Returns whether to try again.
   *
   * @param sent the upstreams that the request has reached, this attempt included
   * @param connectFailures the attempts that reached none
   * @param budget takes one retry from the shared budget, asked only when all else allows it
   */
  static boolean retries(
      Route route,
      Outcome outcome,
      int sent,
      int connectFailures,
      long timeLeftMillis,
      BooleanSupplier budget) {
    boolean allowed = outcome.verdict() == Verdict.NOT_RUN || route.mayRepeat();
    if (!allowed || timeLeftMillis < MIN_TIME_LEFT_MILLIS) {
      return false;
    }
    if (!outcome.wasSent()) {
      return connectFailures <= MAX_CONNECT_FAILURES;
    }
    return sent < route.attempts() && budget.getAsBoolean();
  }
}
