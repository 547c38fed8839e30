package org.tanagerbank.bench;

/**
 * The settings of one comparison of policies.
 *
 * <p>Immutable and thread-safe.
 *
 * @param scenario the simulated fault or change
 * @param entries the number of entries
 * @param upstreams the number of engines at the start
 * @param zones the number of zones, over which entries and engines are spread evenly
 * @param chats the number of chats
 * @param workspaces the number of workspaces, with sizes by Zipf's law
 * @param seed the seed of all random draws
 * @param seconds the simulated time that is measured, in seconds
 * @param warmupSeconds the simulated time before the measurement, in seconds
 * @param load the target mean number of requests in flight per engine, which sets the arrival rate
 * @param reuseWeight the declaration's weight of cache reuse
 * @param skewWeight the declaration's weight of even load
 * @param cacheTokens the capacity of an engine's prefix cache in tokens
 * @param churnSeconds the seconds between changes of the fleet in scenarios churn and disagreement
 * @param reportLagMillis the additional delay of sidecars' load reports in scenario lag, in
 *     milliseconds
 * @param sumsLagMillis the additional delay of entries' load sums in scenario lag, in milliseconds
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
  /** The declared upper bound of an engine's load, as a multiple of the mean load. */
  static final double LOAD_MULTIPLE = 1.25;

  /** The declared limit on requests in flight at one engine. */
  static final int MAX_IN_FLIGHT = 64;

  static final String SERVICE = "drafting-models";

  /** Returns the end of the run in microseconds of simulated time. */
  long endMicros() {
    return (warmupSeconds + seconds) * 1_000_000L;
  }

  long warmupMicros() {
    return warmupSeconds * 1_000_000L;
  }

  /** Returns the simulated time in microseconds at a fraction of the measured period. */
  long instantMicros(double fraction) {
    return warmupMicros() + (long) (fraction * seconds * 1e6);
  }
}
