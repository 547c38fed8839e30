package org.tanagerbank.bench;

/**
 * The measured results of one policy.
 *
 * <p>A load ratio is the in-flight count of an engine over the mean load. Immutable and
 * thread-safe.
 *
 * @param policy the name of the policy
 * @param cacheReuse the share of prompt tokens that engines found in their caches
 * @param worstLoadRatio the highest load ratio at any admission; the mean is that of the engine's
 *     side of a partition
 * @param loadRatioP99 the 99th percentile of the load ratio at admissions
 * @param worstLoadRatioWholeService the highest load ratio; the mean is that of both sides
 * @param refusedShare the share of requests that were refused
 * @param requests the number of requests measured
 * @param controlBytesPerEntryPerSecond control bytes in both directions per second, as the mean
 *     over entries
 * @param nanosPerDecision the mean duration of one routing decision in nanoseconds
 */
record PolicyResult(
    String policy,
    double cacheReuse,
    double worstLoadRatio,
    double loadRatioP99,
    double worstLoadRatioWholeService,
    double refusedShare,
    long requests,
    double controlBytesPerEntryPerSecond,
    double nanosPerDecision) {
  /** Returns the result without the duration of a decision, which varies between runs. */
  PolicyResult withoutNanos() {
    return new PolicyResult(
        policy,
        cacheReuse,
        worstLoadRatio,
        loadRatioP99,
        worstLoadRatioWholeService,
        refusedShare,
        requests,
        controlBytesPerEntryPerSecond,
        0);
  }
}
