package org.tanagerbank.bench;

/**
 * The sizes of one policy measurement.
 *
 * <p>Immutable and thread-safe.
 *
 * @param scenario what goes wrong
 * @param entries the number of entries
 * @param upstreams the number of engines at the start
 * @param zones the number of zones, over which entries and engines are spread evenly
 * @param chats the number of chats
 * @param workspaces the number of workspaces, with sizes by Zipf's law
 * @param seed the seed of all random draws
 * @param seconds the simulated time that is measured
 * @param warmupSeconds the simulated time before it
 * @param load the mean number of requests in flight per engine that arrivals aim at
 * @param reuseWeight the declaration's weight of cache reuse
 * @param skewWeight the declaration's weight of even load
 * @param cacheTokens the prompt tokens that an engine's cache holds
 * @param churnSeconds the time between changes of the fleet in scenarios churn and disagreement
 * @param reportLagMillis how old load reports of sidecars are on arrival in scenario lag
 * @param sumsLagMillis how old load sums of entries are on arrival in scenario lag
 */
record BenchSettings(
    BenchScenario scenario,
    int entries,
    int upstreams,
    int zones,
    int chats,
    int workspaces,
    long seed,
    int seconds,
    int warmupSeconds,
    double load,
    double reuseWeight,
    double skewWeight,
    long cacheTokens,
    double churnSeconds,
    long reportLagMillis,
    long sumsLagMillis) {
  /** The declared multiple of the mean load. */
  static final double LOAD_MULTIPLE = 1.25;

  /** The declared limit on requests in flight at one engine. */
  static final int MAX_IN_FLIGHT = 64;

  static final String SERVICE = "drafting-models";

  /** The end of the run in microseconds. */
  long endMicros() {
    return (warmupSeconds + seconds) * 1_000_000L;
  }

  long warmupMicros() {
    return warmupSeconds * 1_000_000L;
  }

  /** Returns the instant at a fraction of the measured time, in microseconds. */
  long instant(double fraction) {
    return warmupMicros() + (long) (fraction * seconds * 1e6);
  }
}
