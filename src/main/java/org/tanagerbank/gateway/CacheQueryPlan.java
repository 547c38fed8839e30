package org.tanagerbank.gateway;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.tanagerbank.routing.Rendezvous;

/**
 * Decides which engines an instance that has restarted asks for their cached parts.
 *
 * <p>An instance asks each engine at most once, and none before it knows the other instances, with
 * which it divides the engines. Not thread-safe.
 */
final class CacheQueryPlan {
  /**
   * Limits how many instances query the same engine after the whole fleet has restarted: the first
   * queries of all instances together exceed this number only when there are more engines, each
   * then queried once. A query takes processing time of the engine.
   */
  private static final int MAX_ENGINE_QUERIES = 80;

  private final String instanceId;
  private final Set<String> queried = new HashSet<>();
  private boolean isRestarted;
  private boolean areEnginesKnown;
  private boolean areInstancesKnown;
  private boolean hasBegun;

  /**
   * Creates a plan.
   *
   * @param instanceId the id of the instance that asks
   */
  CacheQueryPlan(String instanceId) {
    this.instanceId = instanceId;
  }

  /** Records that this instance has restarted, so that it lacks what engines have cached. */
  void recordRestart() {
    isRestarted = true;
  }

  /** Records that the engines are known, and returns whether they were not before. */
  boolean recordEnginesKnown() {
    boolean isNew = !areEnginesKnown;
    areEnginesKnown = true;
    return isNew;
  }

  void recordInstancesKnown() {
    areInstancesKnown = true;
  }

  /** Returns whether the first queries are due and were not made yet. */
  boolean mayBegin() {
    return isRestarted && areEnginesKnown && areInstancesKnown && !hasBegun;
  }

  /**
   * Returns the engines to query first.
   *
   * @param engineIds all engines
   * @param instanceIds all instances of the fleet with this one
   */
  ImmutableList<String> begin(Collection<String> engineIds, ImmutableSet<String> instanceIds) {
    hasBegun = true;
    return query(engineIds, instanceIds, instancesPerEngine(engineIds.size()));
  }

  /**
   * Returns the engines to query because nobody has told their cached parts.
   *
   * @param unknownIds the engines whose cached parts are not known
   * @param liveIds the instances that are heard with this one
   */
  ImmutableList<String> queryRemaining(
      Collection<String> unknownIds, ImmutableSet<String> liveIds) {
    return hasBegun ? query(unknownIds, liveIds, 1) : ImmutableList.of();
  }

  private ImmutableList<String> query(
      Collection<String> engineIds, ImmutableSet<String> instanceIds, int instancesPerEngine) {
    return assignedEngines(engineIds, instanceId, instanceIds, instancesPerEngine).stream()
        .filter(queried::add)
        .collect(toImmutableList());
  }

  /** Returns how many instances query the same engine after all of them have restarted. */
  static int instancesPerEngine(int engines) {
    return Math.max(1, MAX_ENGINE_QUERIES / Math.max(1, engines));
  }

  /** Returns the engines that are assigned to an instance; each engine has one instance. */
  static ImmutableList<String> assignedEngines(
      Collection<String> engineIds, String instanceId, ImmutableSet<String> instanceIds) {
    return assignedEngines(engineIds, instanceId, instanceIds, 1);
  }

  private static ImmutableList<String> assignedEngines(
      Collection<String> engineIds,
      String instanceId,
      ImmutableSet<String> instanceIds,
      int instancesPerEngine) {
    return engineIds.stream()
        .filter(e -> Rendezvous.choose(e, instanceIds, instancesPerEngine).contains(instanceId))
        .collect(toImmutableList());
  }
}
