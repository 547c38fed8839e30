package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.random.RandomGenerator;

/**
 * Spreads the times at which upstreams load the weights of a model version, because the weight
 * store is rate-limited.
 *
 * <p>The start of an upstream is delayed by its rank in a rendezvous hashing order, which all
 * processes compute identically without exchanging messages. After a refused load, an upstream
 * waits at least for the retry time that the store returned. Immutable and thread-safe.
 *
 * @param spacingMillis the time in milliseconds between the starts of two upstreams
 * @param firstRetryMillis the delay in milliseconds after the first failure, if the store returned
 *     no retry time
 * @param maxRetryMillis the upper limit of that delay, which doubles with each consecutive failure
 */
public record WeightLoadSchedule(long spacingMillis, long firstRetryMillis, long maxRetryMillis) {
  /** The schedule for production. */
  public static final WeightLoadSchedule DEFAULT = new WeightLoadSchedule(250, 1_000, 60_000);

  private static final HashFunction HASH = Hashing.murmur3_128(0x7a71);

  public WeightLoadSchedule {
    checkArgument(spacingMillis > 0, "spacingMillis must be positive: %s", spacingMillis);
    checkArgument(firstRetryMillis > 0, "firstRetryMillis must be positive: %s", firstRetryMillis);
    checkArgument(
        maxRetryMillis >= firstRetryMillis,
        "maxRetryMillis must not be less than firstRetryMillis: "
            + maxRetryMillis
            + " < "
            + firstRetryMillis);
  }

  /**
   * Returns the delay in milliseconds before an upstream loads a model version.
   *
   * @param self the id of the upstream; it need not be in the list
   * @param upstreams the ids of the upstreams that load the same version
   * @param random the source of the random part of the delay, which is less than the spacing
   */
  public long startDelayMillis(
      String self,
      Collection<String> upstreams,
      String model,
      String version,
      RandomGenerator random) {
    long ownScore = score(self, model, version);
    long rank =
        upstreams.stream()
            .filter(id -> !id.equals(self))
            .filter(id -> isBefore(id, score(id, model, version), self, ownScore))
            .count();
    return rank * spacingMillis + random.nextLong(spacingMillis);
  }

  /**
   * Returns the delay in milliseconds before a failed load is tried again.
   *
   * @param failures the number of consecutive failures, including this one
   * @param storeRetryMillis the retry time that the store returned; 0 if it returned none
   * @param random the source of the random part of the delay, which is at most half of the rest
   */
  public long retryDelayMillis(int failures, long storeRetryMillis, RandomGenerator random) {
    checkArgument(failures > 0, "failures must be positive: %s", failures);
    long backoffMillis = Math.min(maxRetryMillis, firstRetryMillis << Math.min(failures - 1, 20));
    long delayMillis = Math.max(backoffMillis, storeRetryMillis);
    // The random part only increases the delay. The store would refuse an earlier retry again.
    return delayMillis + random.nextLong(delayMillis / 2 + 1);
  }

  private static boolean isBefore(String id, long score, String self, long ownScore) {
    int order = Long.compareUnsigned(score, ownScore);
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
