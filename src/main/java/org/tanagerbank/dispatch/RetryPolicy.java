package org.tanagerbank.dispatch;

import java.util.function.BooleanSupplier;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.route.Route;

/**
 * Decides whether a request is retried on another upstream after a failed attempt.
 *
 * <p>A request is retried only if it did not run or if its route allows it to run more than once.
 * Stateless and thread-safe.
 */
final class RetryPolicy {
  /**
   * The largest number of failed connections after which a request is still retried. They have a
   * limit of their own, because the attempts of a route count only requests that were sent.
   */
  private static final int MAX_CONNECT_FAILURES = 3;

  /**
   * The least remaining time, in milliseconds, for a retry. With less time, no upstream responds
   * before the caller's deadline.
   */
  private static final long MIN_TIME_LEFT_MILLIS = 40;

  private RetryPolicy() {}

  /** Returns whether another upstream can respond before the deadline of a request. */
  static boolean hasTimeForRetry(long timeLeftMillis) {
    return timeLeftMillis >= MIN_TIME_LEFT_MILLIS;
  }

  /**
   * Returns whether to retry the request.
   *
   * @param sentAttempts the number of attempts that sent the request, including this one
   * @param connectFailures the number of attempts that could not connect
   * @param timeLeftMillis the time until the deadline of the request, in milliseconds
   * @param takeFromBudget takes one retry from the shared budget and returns whether one was left;
   *     called only if all other conditions for a retry hold
   */
  static boolean shouldRetry(
      Route route,
      AttemptFailure failure,
      int sentAttempts,
      int connectFailures,
      long timeLeftMillis,
      BooleanSupplier takeFromBudget) {
    boolean allowed = failure.verdict() == Verdict.NOT_RUN || route.isRepeatable();
    if (!allowed || !hasTimeForRetry(timeLeftMillis)) {
      return false;
    }
    if (!failure.wasSent()) {
      return connectFailures <= MAX_CONNECT_FAILURES;
    }
    return sentAttempts < route.attempts() && takeFromBudget.getAsBoolean();
  }
}
