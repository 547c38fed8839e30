package org.tanagerbank.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times and limits of the membership view.
 *
 * <p>Immutable and thread-safe.
 *
 * @param evidenceMillis how long a frame from an unlisted instance proves that it is alive
 * @param initialBackoffMillis how long an instance is not used after its first link failure
 * @param maxBackoffMillis the maximum back-off; it doubles with each consecutive failure
 * @param flapWindowMillis the sliding window in which returns are counted
 * @param undelayedReturns the number of returns within the window that cause no delay
 * @param initialDelayMillis the delay after the first return beyond {@code undelayedReturns}
 * @param maxDelayMillis the maximum delay; it doubles with each further return
 * @param maxListLossRatio the fraction of the listed instances, in (0, 1), that a single list may
 *     lose; a larger loss indicates a platform fault and removes no instance
 */
public record MembershipSettings(
    long evidenceMillis,
    long initialBackoffMillis,
    long maxBackoffMillis,
    long flapWindowMillis,
    int undelayedReturns,
    long initialDelayMillis,
    long maxDelayMillis,
    double maxListLossRatio) {
  /** The values used in production. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(10_000, 1_000, 30_000, 600_000, 2, 10_000, 300_000, 0.5);

  public MembershipSettings {
    checkArgument(evidenceMillis > 0, "evidence time must be positive: %s", evidenceMillis);
    checkArgument(
        initialBackoffMillis > 0, "initial back-off must be positive: %s", initialBackoffMillis);
    checkArgument(
        maxBackoffMillis >= initialBackoffMillis,
        "the maximum back-off must not be below the initial back-off");
    checkArgument(
        initialDelayMillis > 0, "initial flap delay must be positive: %s", initialDelayMillis);
    checkArgument(
        maxDelayMillis >= initialDelayMillis,
        "the maximum flap delay must not be below the initial flap delay");
    checkArgument(
        maxListLossRatio > 0 && maxListLossRatio < 1,
        "list loss ratio must be in (0, 1): %s",
        maxListLossRatio);
  }

  /** Returns the initial time doubled the given number of times, at most the limit. */
  static long exponentialBackoff(long initial, int doublings, long limit) {
    return Math.min(limit, initial << Math.min(doublings, 20));
  }
}
