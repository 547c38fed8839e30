package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * What the declaration says about one service.
 *
 * <p>Immutable and thread-safe. The parser has checked all ranges.
 *
 * @param name the name of the service
 * @param kind what stands behind it
 * @param models the model names it answers; empty for a plain service
 * @param dependsOn the services without which it cannot work
 * @param loadMultiple the bound on an upstream's load, as a multiple of the mean; at least 1
 * @param weights how cache reuse and even load are weighed against each other
 * @param slowStartMillis the time over which a new upstream's share grows to its full size
 * @param drainLimitMillis the longest time a planned stop waits for work in flight; 0 for no limit
 * @param maxInFlightPerUpstream a limit on requests in flight at one upstream, whatever the mean
 * @param workspaceShares shares for fairness by workspace; {@code default} names all others
 * @param objectives the service-level objectives
 * @param nonIdempotentPaths path prefixes of a plain service whose calls may not be repeated
 * @param deterministic whether the same body always gives the same answer
 */
public record ServiceSpec(
    String name,
    ServiceKind kind,
    ImmutableList<String> models,
    ImmutableList<String> dependsOn,
    double loadMultiple,
    Weights weights,
    long slowStartMillis,
    long drainLimitMillis,
    int maxInFlightPerUpstream,
    ImmutableMap<String, Integer> workspaceShares,
    Objectives objectives,
    ImmutableList<String> nonIdempotentPaths,
    boolean deterministic) {

  /**
   * Weights of the two goals of engine choice.
   *
   * @param reuse weight of cache reuse, not negative
   * @param skew weight of even load, not negative; the two are not both zero
   */
  public record Weights(double reuse, double skew) {
    /** Returns the share of the skew weight in the sum of both, from 0 to 1. */
    public double skewShare() {
      return skew / (reuse + skew);
    }
  }

  /**
   * Service-level objectives.
   *
   * @param firstTokenMillis the time within which the first token is due
   * @param perTokenMillis the time between tokens
   * @param ratio the share of requests that must meet both, between 0 and 1
   */
  public record Objectives(long firstTokenMillis, long perTokenMillis, double ratio) {}

  /** Returns the fairness share of a workspace. */
  public int shareOf(String workspace) {
    Integer own = workspaceShares.get(workspace);
    return own != null ? own : workspaceShares.getOrDefault("default", 1);
  }
}
