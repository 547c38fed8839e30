package org.tanagerbank.dispatch;

/**
 * Tracks the recent failures of an upstream from the requests that were sent to it.
 *
 * <p>An upstream that fails often is avoided, except for a trial request from time to time. This
 * class performs no I/O. Not thread-safe; confined to one thread.
 */
final class UpstreamHealth {
  /** The weight of one result in the moving average of failures. */
  private static final double RESULT_WEIGHT = 0.15;

  /**
   * The share of failures above which an upstream is avoided. On some routes, one seventh of the
   * requests fail although the upstream is healthy.
   */
  private static final double MAX_FAILURE_SHARE = 0.3;

  /**
   * How long an upstream is avoided after a failed connection, in milliseconds. A failed connection
   * means that the upstream is down, regardless of earlier results.
   */
  private static final long DOWN_MILLIS = 500;

  /** The time between trial requests to an upstream that fails often, in milliseconds. */
  private static final long TRIAL_INTERVAL_MILLIS = 1_000;

  private double failureShare;
  private long downUntilMillis = Long.MIN_VALUE;
  private long lastTrialMillis = Long.MIN_VALUE / 2;

  void requestSucceeded() {
    failureShare *= 1 - RESULT_WEIGHT;
    downUntilMillis = Long.MIN_VALUE;
  }

  void requestFailed() {
    failureShare = failureShare * (1 - RESULT_WEIGHT) + RESULT_WEIGHT;
  }

  void connectFailed(long nowMillis) {
    downUntilMillis = nowMillis + DOWN_MILLIS;
  }

  /** Returns whether requests should go to other upstreams, if there are any. */
  boolean isAvoided(long nowMillis) {
    if (nowMillis < downUntilMillis) {
      return true;
    }
    return failureShare > MAX_FAILURE_SHARE && nowMillis - lastTrialMillis < TRIAL_INTERVAL_MILLIS;
  }

  /** Records a request that is sent, which is a trial request if the upstream fails often. */
  void requestSent(long nowMillis) {
    if (failureShare > MAX_FAILURE_SHARE) {
      lastTrialMillis = nowMillis;
    }
  }

  double failureShare() {
    return failureShare;
  }
}
