package org.tanagerbank.load;

import java.util.List;

/**
 * The measurements of one path at one number of concurrent streams; times are in microseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requests the number of requests; resends are not counted
 * @param whole the number of answers that arrived completely and with the expected text
 * @param wrong the number of answers with an unexpected text, and of streams that ended without an
 *     error and without their end mark
 * @param failed the number of requests that ended with an error
 * @param resent the number of resends after verdict {@code NOT_RUN}; times to the first token start
 *     at the last send
 * @param firstTokenP50 the median time to the first token
 * @param firstTokenP95 the 95th percentile of the time to the first token
 * @param betweenTokensP50 the median time between tokens
 * @param betweenTokensP95 the 95th percentile of the time between tokens
 */
public record PathMeasurements(
    long requests,
    long whole,
    long wrong,
    long failed,
    long resent,
    long firstTokenP50,
    long firstTokenP95,
    long betweenTokensP50,
    long betweenTokensP95) {
  private static final double MEDIAN = 50;
  private static final double PERCENTILE_95 = 95;

  /** Returns the combined measurements of all runs. */
  static PathMeasurements of(List<LoadResult> runs) {
    Latencies latencies = new Latencies();
    runs.forEach(r -> latencies.add(r.latencies()));
    return new PathMeasurements(
        runs.stream().mapToLong(LoadResult::requests).sum(),
        runs.stream().mapToLong(LoadResult::wholeAnswers).sum(),
        runs.stream().mapToLong(LoadResult::wrongAnswers).sum(),
        runs.stream().flatMap(r -> r.failures().values().stream()).mapToLong(n -> n).sum(),
        runs.stream().flatMap(r -> r.resends().values().stream()).mapToLong(n -> n).sum(),
        latencies.firstTokenMicros(MEDIAN),
        latencies.firstTokenMicros(PERCENTILE_95),
        latencies.betweenTokensMicros(MEDIAN),
        latencies.betweenTokensMicros(PERCENTILE_95));
  }

  /**
   * Returns whether there were requests and every answer was complete and had the expected text.
   */
  boolean isRight() {
    return requests > 0 && whole == requests;
  }
}
