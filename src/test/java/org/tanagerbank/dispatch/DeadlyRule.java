package org.tanagerbank.dispatch;

/** Decides which runs of requests end their upstream. Stateless and thread-safe. */
@FunctionalInterface
interface DeadlyRule {
  /** The beginning of the body of each request that may end upstreams. */
  String DEADLY = "deadly";

  /** Each run of a deadly request ends its upstream. */
  DeadlyRule ALWAYS = (version, earlierRuns) -> true;

  /**
   * Returns whether a run of a deadly request ends its upstream.
   *
   * @param version the software version of the upstream
   * @param earlierRuns the number of runs of this body that began before, at all upstreams
   */
  boolean endsUpstream(String version, long earlierRuns);

  /** Returns the rule of a request that ends upstreams only after some runs. */
  static DeadlyRule afterRuns(long runs) {
    return (version, earlierRuns) -> earlierRuns >= runs;
  }

  /** Returns the rule of a request that ends only upstreams of one software version. */
  static DeadlyRule atVersion(String deadlyVersion) {
    return (version, earlierRuns) -> version.equals(deadlyVersion);
  }
}
