package org.tanagerbank.load;

import java.util.List;

/**
 * The figures of one path at one number of streams; times are in microseconds.
 *
 * @param requests requests sent, resends not counted
 * @param whole answers that were whole and the caller's own
 * @param wrong answers that were not the caller's own or were cut short without an error
 * @param failed requests that ended with an error
 * @param resent requests sent again after {@code NOT_RUN}; their time counts from the last send
 * @param firstTokenP50 median time to the first token
 * @param firstTokenP95 95th percentile of the time to the first token
 * @param betweenTokensP50 median time between tokens
 * @param betweenTokensP95 95th percentile of the time between tokens
 */
public record PathFigures(
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
  private static final double TAIL = 95;

  /** Returns the figures of all runs together. */
  static PathFigures of(List<LoadResult> runs) {
    Latencies all = new Latencies();
    runs.forEach(r -> all.add(r.latencies()));
    return new PathFigures(
        runs.stream().mapToLong(LoadResult::requests).sum(),
        runs.stream().mapToLong(LoadResult::wholeAnswers).sum(),
        runs.stream().mapToLong(LoadResult::wrongAnswers).sum(),
        runs.stream().flatMap(r -> r.failures().values().stream()).mapToLong(n -> n).sum(),
        runs.stream().flatMap(r -> r.resends().values().stream()).mapToLong(n -> n).sum(),
        all.firstTokenMicros(MEDIAN),
        all.firstTokenMicros(TAIL),
        all.betweenTokensMicros(MEDIAN),
        all.betweenTokensMicros(TAIL));
  }

  /** Returns whether every answer was whole and the caller's own. */
  boolean isRight() {
    return requests > 0 && whole == requests;
  }
}
