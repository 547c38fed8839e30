package org.tanagerbank.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times and limits of the membership view.
 *
 * <p>Immutable and thread-safe.
 *
 * @param evidenceMillis how long a frame from an unlisted instance proves that it is alive
 * @param firstBackoffMillis how long an instance is not used after its first link failure
 * @param maxBackoffMillis the limit of that time, which doubles with each failure in a row
 * @param flapWindowMillis the time within which returns are counted
 * @param freeReturns returns within the window that cause no wait
 * @param firstWaitMillis the wait after the first return too many
 * @param maxWaitMillis the limit of that wait, which doubles with each further return
 * @param listLossRatio the share of listed instances that a single list may lose; a list that loses
 *     more is taken for a platform fault and removes nothing
 */
public record MembershipSettings(
    long evidenceMillis,
    long firstBackoffMillis,
    long maxBackoffMillis,
    long flapWindowMillis,
    int freeReturns,
    long firstWaitMillis,
    long maxWaitMillis,
    double listLossRatio) {
  /** The values used in operation. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(10_000, 1_000, 30_000, 600_000, 2, 10_000, 300_000, 0.5);

  public MembershipSettings {
    checkArgument(evidenceMillis > 0, "evidence time must be positive: %s", evidenceMillis);
    checkArgument(firstBackoffMillis > 0, "back-off must be positive: %s", firstBackoffMillis);
    checkArgument(maxBackoffMillis >= firstBackoffMillis, "back-off limit is below the first");
    checkArgument(firstWaitMillis > 0, "wait must be positive: %s", firstWaitMillis);
    checkArgument(maxWaitMillis >= firstWaitMillis, "wait limit is below the first wait");
    checkArgument(listLossRatio > 0 && listLossRatio < 1, "ratio not in (0, 1): %s", listLossRatio);
  }

  static long doubled(long first, int times, long limit) {
    return Math.min(limit, first << Math.min(times, 20));
  }
}
