package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.random.RandomGenerator;

/**
 * Spreads the loads of one model version over time, because the weight store limits its rate.
 *
 * <p>An upstream starts after a delay by its rank in a rendezvous order, which every process
 * computes alike without a message. A refused load waits at least as long as the store asked for.
 * Immutable and thread-safe.
 *
 * @param spacingMillis the time between the starts of two upstreams
 * @param firstRetryMillis the wait after the first failure without a retry time of the store
 * @param maxRetryMillis the limit of that wait, which doubles with each failure in a row
 */
public record WeightLoadSchedule(long spacingMillis, long firstRetryMillis, long maxRetryMillis) {
  /** The values used in operation. */
  public static final WeightLoadSchedule DEFAULT = new WeightLoadSchedule(250, 1_000, 60_000);

  private static final HashFunction HASH = Hashing.murmur3_128(0x7a71);

  public WeightLoadSchedule {
    checkArgument(spacingMillis > 0, "spacing must be positive: %s", spacingMillis);
    checkArgument(firstRetryMillis > 0, "retry time must be positive: %s", firstRetryMillis);
    checkArgument(maxRetryMillis >= firstRetryMillis, "retry limit is below the first retry");
  }

  /**
   * Returns how long an upstream waits before it loads a version.
   *
   * @param self the id of the upstream; it need not be in the list
   * @param upstreams the ids of the upstreams that load the same version
   */
  public long startDelayMillis(
      String self,
      Collection<String> upstreams,
      String model,
      String version,
      RandomGenerator random) {
    long own = score(self, model, version);
    long rank =
        upstreams.stream()
            .filter(id -> !id.equals(self))
            .filter(id -> isBefore(id, score(id, model, version), self, own))
            .count();
    return rank * spacingMillis + random.nextLong(spacingMillis);
  }

  /**
   * Returns how long to wait after a failed load.
   *
   * @param failures the failures in a row, this one included
   * @param storeRetryMillis the retry time that the store gave; 0 when it gave none
   */
  public long retryDelayMillis(int failures, long storeRetryMillis, RandomGenerator random) {
    checkArgument(failures > 0, "failures must be positive: %s", failures);
    long own = Math.min(maxRetryMillis, firstRetryMillis << Math.min(failures - 1, 20));
    long wait = Math.max(own, storeRetryMillis);
    // Upward only: an earlier retry would be refused again.
    return wait + random.nextLong(wait / 2 + 1);
  }

  private static boolean isBefore(String id, long score, String self, long own) {
    int order = Long.compareUnsigned(score, own);
    return order > 0 || (order == 0 && id.compareTo(self) < 0);
  }

  private static long score(String id, String model, String version) {
    return HASH.newHasher()
        .putString(model, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(version, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(id, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
