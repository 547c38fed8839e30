package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * The declared settings of a service.
 *
 * <p>This class does not check ranges; the parser does. Immutable and thread-safe.
 *
 * @param name the name of the service
 * @param kind the kind of its upstreams
 * @param models the names of the models that it serves; empty for a plain service
 * @param dependsOn the names of the services that it needs to work
 * @param loadMultiple the limit on the load of an upstream, as a multiple of the mean load; at
 *     least 1
 * @param weights the weights of cache reuse and even load in the choice of an engine
 * @param slowStartMillis the time over which the share of a new upstream grows to its full size, in
 *     milliseconds
 * @param drainLimitMillis the longest time for which a planned stop waits for work in flight, in
 *     milliseconds; 0 for no limit
 * @param maxInFlightPerUpstream the limit on requests in flight at one upstream, regardless of the
 *     mean load
 * @param workspaceShares the fairness shares by workspace; the key {@code default} applies to all
 *     workspaces without their own share
 * @param objectives the service-level objectives
 * @param nonIdempotentPaths the path prefixes of a plain service whose requests must not be
 *     repeated
 * @param deterministic whether equal request bodies always have equal responses
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
   * The weights of the two goals in the choice of an engine, of which at least one is positive.
   *
   * @param reuse the weight of cache reuse, not negative
   * @param skew the weight of even load, not negative
   */
  public record Weights(double reuse, double skew) {
    /** Returns the weight of even load as a share of the sum of both weights, from 0 to 1. */
    public double skewShare() {
      return skew / (reuse + skew);
    }
  }

  /**
   * The service-level objectives of a service.
   *
   * @param firstTokenMillis the target for the time to the first token, in milliseconds
   * @param perTokenMillis the target for the time between two tokens, in milliseconds
   * @param ratio the share of requests that must meet both targets, between 0 and 1
   */
  public record Objectives(long firstTokenMillis, long perTokenMillis, double ratio) {}

  /**
   * Returns the fairness share of a workspace: its own share, otherwise the declared default,
   * otherwise 1.
   */
  public int shareOf(String workspace) {
    Integer ownShare = workspaceShares.get(workspace);
    return ownShare != null ? ownShare : workspaceShares.getOrDefault("default", 1);
  }
}
