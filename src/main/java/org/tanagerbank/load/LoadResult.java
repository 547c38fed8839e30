package org.tanagerbank.load;

import com.google.common.collect.ImmutableSortedMap;

/**
 * The outcome of a load run.
 *
 * @param requests requests sent by callers, resends not counted
 * @param wholeAnswers answers that arrived with their end and were the caller's own
 * @param wrongAnswers whole answers that were not the caller's own, and answers cut short without
 *     error
 * @param failures requests that ended with an error, by error code
 * @param resends requests sent again after {@code NOT_RUN}, by error code
 * @param promptTokens prompt tokens of all whole answers
 * @param reusedTokens prompt tokens found in engines' caches
 * @param seconds how long the run took
 * @param latencies times to the first token and between tokens
 */
public record LoadResult(
    long requests,
    long wholeAnswers,
    long wrongAnswers,
    ImmutableSortedMap<String, Long> failures,
    ImmutableSortedMap<String, Long> resends,
    long promptTokens,
    long reusedTokens,
    double seconds,
    Latencies latencies) {
  /** Returns the share of prompt tokens that engines found in their caches. */
  public double cacheReuse() {
    return promptTokens == 0 ? 0 : (double) reusedTokens / promptTokens;
  }
}
