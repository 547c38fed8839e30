package org.tanagerbank.load;

import com.google.common.collect.ImmutableSortedMap;

/**
 * The outcome of a load run.
 *
 * @param requests the number of requests; resends are not counted
 * @param wholeAnswers the number of answers that arrived completely and with the expected text
 * @param wrongAnswers the number of answers with an unexpected text, and of streams that ended
 *     without an error and without their end mark
 * @param failures the number of requests that ended with an error, by error code; the text before
 *     the error was as expected
 * @param resends the number of resends after verdict {@code NOT_RUN}, by error code
 * @param promptTokens the prompt tokens of all whole answers
 * @param reusedTokens the prompt tokens of all whole answers that engines found in their caches
 * @param seconds the duration of the run in seconds
 * @param latencies the times to the first token and between tokens
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
