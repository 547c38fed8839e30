package org.tanagerbank.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The upper reference for all policies: one router without delays that has the exact content of
 * every cache and every exact in-flight count.
 *
 * <p>It chooses the engine with the longest cached prefix among the engines within the load bound,
 * or the least loaded engine if none of them has a cached prefix, and refuses the request if no
 * engine is within the bound. Not thread-safe.
 */
final class ClairvoyantPolicy extends Policy {
  /** The engines that cache a prefix of a chat, by the index of the chat. */
  private final Map<Integer, Set<SimulatedEngine>> holders = new HashMap<>();

  /** The accepting engines by side of the partition and in-flight count. */
  private final List<List<Set<SimulatedEngine>>> enginesByLoad =
      List.of(new ArrayList<>(), new ArrayList<>());

  /** The side and in-flight count under which an engine is filed in {@code enginesByLoad}. */
  private final Map<SimulatedEngine, int[]> loadPositions = new HashMap<>();

  ClairvoyantPolicy(SimulatedFleet fleet) {
    super(fleet);
  }

  @Override
  String name() {
    return "clairvoyant";
  }

  @Override
  void engineStarted(SimulatedEngine engine) {
    engine.onCacheChange(chat -> cacheChanged(engine, chat));
  }

  private void cacheChanged(SimulatedEngine engine, int chat) {
    if (engine.cachedPrefixTokens(chat) > 0) {
      holders.computeIfAbsent(chat, c -> new LinkedHashSet<>()).add(engine);
    } else {
      holders.computeIfPresent(chat, (c, set) -> set.remove(engine) && set.isEmpty() ? null : set);
    }
  }

  /** Files an engine under its current load, or removes it if it does not accept work. */
  private void updateLoadPosition(SimulatedEngine engine) {
    int[] position = loadPositions.remove(engine);
    if (position != null) {
      enginesByLoad.get(position[0]).get(position[1]).remove(engine);
    }
    if (engine.accepting) {
      int side = fleet.sideOf(engine.zone);
      List<Set<SimulatedEngine>> loads = enginesByLoad.get(side);
      while (loads.size() <= engine.inFlight()) {
        loads.add(new LinkedHashSet<>());
      }
      loads.get(engine.inFlight()).add(engine);
      loadPositions.put(engine, new int[] {side, engine.inFlight()});
    }
  }

  @Override
  void engineLeaving(SimulatedEngine engine) {
    updateLoadPosition(engine);
  }

  @Override
  void engineCrashed(SimulatedEngine engine) {
    updateLoadPosition(engine);
  }

  @Override
  void partitionStarted() {
    fleet.engines.forEach(this::updateLoadPosition);
  }

  @Override
  void partitionEnded() {
    fleet.engines.forEach(this::updateLoadPosition);
  }

  @Override
  void engineAccepting(SimulatedEngine engine) {
    updateLoadPosition(engine);
  }

  @Override
  void requestArrived(BenchRequest request) {
    SimulatedEngine engine = choose(request);
    if (engine == null) {
      fleet.countRefusal();
      return;
    }
    fleet.admit(engine, request, () -> updateLoadPosition(engine), () -> requestArrived(request));
    updateLoadPosition(engine);
  }

  private SimulatedEngine choose(BenchRequest request) {
    int side = fleet.sideOf(zoneOfEntry(request.entry()));
    double limit = BenchSettings.LOAD_MULTIPLE * fleet.meanLoadWithNewRequest(side);
    SimulatedEngine best = null;
    for (SimulatedEngine engine : holders.getOrDefault(request.chat(), Set.of())) {
      if (isAllowed(engine, side, limit)
          && (best == null || hasLongerPrefix(engine, best, request))) {
        best = engine;
      }
    }
    if (best != null) {
      return best;
    }
    for (Set<SimulatedEngine> engines : enginesByLoad.get(side)) {
      if (!engines.isEmpty()) {
        SimulatedEngine engine = engines.iterator().next();
        return isAllowed(engine, side, limit) ? engine : null;
      }
    }
    return null;
  }

  private boolean isAllowed(SimulatedEngine engine, int side, double limit) {
    return engine.accepting
        && fleet.sideOf(engine.zone) == side
        && engine.inFlight() <= limit
        && engine.inFlight() < BenchSettings.MAX_IN_FLIGHT;
  }

  private static boolean hasLongerPrefix(
      SimulatedEngine a, SimulatedEngine b, BenchRequest request) {
    return a.cachedPrefixTokens(request.chat()) > b.cachedPrefixTokens(request.chat());
  }

  @Override
  long controlBytes() {
    return 0;
  }

  @Override
  Object decide(BenchRequest request) {
    return choose(request);
  }
}
