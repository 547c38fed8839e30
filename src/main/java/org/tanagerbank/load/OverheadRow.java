package org.tanagerbank.load;

import com.google.common.collect.ImmutableMap;

/**
 * What the hops cost at one number of open streams.
 *
 * @param streams the largest number of requests in flight
 * @param direct the figures of calls to the engine
 * @param through the figures of calls through entry and sidecar
 * @param added by how many microseconds each time is longer through than direct
 * @param processes the use of each process during the calls through the entry
 */
public record OverheadRow(
    int streams,
    PathFigures direct,
    PathFigures through,
    Added added,
    ImmutableMap<String, Cost> processes) {
  /** Differences of the percentiles of two paths, in microseconds; negative when faster. */
  public record Added(
      long firstTokenP50, long firstTokenP95, long betweenTokensP50, long betweenTokensP95) {}

  /**
   * The use of one process.
   *
   * @param cpuSecondsPerThousandTokens CPU time for every 1,000 tokens delivered
   * @param residentMegabytes resident memory after the last round, in units of 10^6 bytes
   */
  public record Cost(double cpuSecondsPerThousandTokens, double residentMegabytes) {}

  static OverheadRow of(
      int streams, PathFigures direct, PathFigures through, ImmutableMap<String, Cost> processes) {
    Added added =
        new Added(
            through.firstTokenP50() - direct.firstTokenP50(),
            through.firstTokenP95() - direct.firstTokenP95(),
            through.betweenTokensP50() - direct.betweenTokensP50(),
            through.betweenTokensP95() - direct.betweenTokensP95());
    return new OverheadRow(streams, direct, through, added, processes);
  }

  /** Returns whether every answer on both paths was whole and the caller's own. */
  public boolean isRight() {
    return direct.isRight() && through.isRight();
  }
}
