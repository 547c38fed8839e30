package org.tanagerbank.bench;

/**
 * What was measured of one policy.
 *
 * @param policy the name of the policy
 * @param cacheReuse reused prompt tokens over prompt tokens
 * @param worstLoadRatio the highest load ratio at any admission, on the engine's side of a
 *     partition
 * @param loadRatioP99 the 99th percentile of the load ratio
 * @param worstLoadRatioWholeService the highest load ratio over the mean of both sides
 * @param refusedShare refused requests over requests
 * @param requests the number of requests measured
 * @param controlBytesPerEntryPerSecond control bytes in both directions, mean over entries
 * @param nanosPerDecision the time of one decision
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
  /** Returns the result without the time of a decision, which differs between runs. */
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
