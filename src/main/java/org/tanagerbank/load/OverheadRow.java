package org.tanagerbank.load;

import com.google.common.collect.ImmutableMap;

/**
 * The overhead of entry and sidecar at one number of concurrent streams.
 *
 * <p>Immutable and thread-safe.
 *
 * @param streams the maximum number of requests in flight
 * @param direct the measurements of direct calls to the engine
 * @param through the measurements of calls through entry and sidecar
 * @param added the latency that entry and sidecar add
 * @param processes the resource use of each process during the calls through entry and sidecar, by
 *     process name
 */
public record OverheadRow(
    int streams,
    PathMeasurements direct,
    PathMeasurements through,
    Added added,
    ImmutableMap<String, Cost> processes) {
  /**
   * The differences of percentiles between the two paths in microseconds; negative when the path
   * through entry and sidecar is faster.
   */
  public record Added(
      long firstTokenP50, long firstTokenP95, long betweenTokensP50, long betweenTokensP95) {}

  /**
   * The resource use of one process.
   *
   * @param cpuSecondsPerThousandTokens the CPU time in seconds per 1,000 delivered tokens
   * @param residentMegabytes the resident memory after the last round in units of 10^6 bytes
   */
  public record Cost(double cpuSecondsPerThousandTokens, double residentMegabytes) {}

  static OverheadRow of(
      int streams,
      PathMeasurements direct,
      PathMeasurements through,
      ImmutableMap<String, Cost> processes) {
    Added added =
        new Added(
            through.firstTokenP50() - direct.firstTokenP50(),
            through.firstTokenP95() - direct.firstTokenP95(),
            through.betweenTokensP50() - direct.betweenTokensP50(),
            through.betweenTokensP95() - direct.betweenTokensP95());
    return new OverheadRow(streams, direct, through, added, processes);
  }

  /** Returns whether every answer on both paths was complete and had the expected text. */
  public boolean isRight() {
    return direct.isRight() && through.isRight();
  }
}
