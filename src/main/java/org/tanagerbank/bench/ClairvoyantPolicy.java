package org.tanagerbank.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The bound for all policies: one router without delays that knows every cache and every in-flight
 * count exactly, and takes the longest cached prefix among engines under the bound.
 *
 * <p>Without a cached prefix it takes the least loaded engine. Not thread-safe.
 */
final class ClairvoyantPolicy extends Policy {
  /** The engines that hold a prefix of a chat. */
  private final Map<Integer, Set<FakeEngine>> holders = new HashMap<>();

  /** The accepting engines by side and in-flight count. */
  private final List<List<Set<FakeEngine>>> byLoad = List.of(new ArrayList<>(), new ArrayList<>());

  private final Map<FakeEngine, int[]> placed = new HashMap<>();

  ClairvoyantPolicy(Fleet fleet) {
    super(fleet);
  }

  @Override
  String name() {
    return "clairvoyant";
  }

  @Override
  void started(FakeEngine engine) {
    engine.onCacheChange(chat -> cacheChanged(engine, chat));
  }

  private void cacheChanged(FakeEngine engine, int chat) {
    if (engine.cachedPrefix(chat) > 0) {
      holders.computeIfAbsent(chat, c -> new LinkedHashSet<>()).add(engine);
    } else {
      holders.computeIfPresent(chat, (c, set) -> set.remove(engine) && set.isEmpty() ? null : set);
    }
  }

  /** Moves an engine to the set of its present load, or out of all sets. */
  private void place(FakeEngine engine) {
    int[] at = placed.remove(engine);
    if (at != null) {
      byLoad.get(at[0]).get(at[1]).remove(engine);
    }
    if (engine.accepting) {
      int side = fleet.sideOf(engine.zone);
      List<Set<FakeEngine>> loads = byLoad.get(side);
      while (loads.size() <= engine.inFlight()) {
        loads.add(new LinkedHashSet<>());
      }
      loads.get(engine.inFlight()).add(engine);
      placed.put(engine, new int[] {side, engine.inFlight()});
    }
  }

  @Override
  void leaving(FakeEngine engine) {
    place(engine);
  }

  @Override
  void crashed(FakeEngine engine) {
    place(engine);
  }

  @Override
  void cut() {
    fleet.engines.forEach(this::place);
  }

  @Override
  void healed() {
    fleet.engines.forEach(this::place);
  }

  @Override
  void accepting(FakeEngine engine) {
    place(engine);
  }

  @Override
  void arrive(BenchRequest request) {
    FakeEngine engine = choose(request);
    if (engine == null) {
      fleet.refused();
      return;
    }
    fleet.admit(engine, request, () -> place(engine), () -> arrive(request));
    place(engine);
  }

  private FakeEngine choose(BenchRequest request) {
    int side = fleet.sideOf(zoneOfEntry(request.entry()));
    double limit = BenchSettings.LOAD_MULTIPLE * fleet.meanWithNew(side);
    FakeEngine best = null;
    for (FakeEngine engine : holders.getOrDefault(request.chat(), Set.of())) {
      if (isAllowed(engine, side, limit) && (best == null || isLonger(engine, best, request))) {
        best = engine;
      }
    }
    if (best != null) {
      return best;
    }
    for (Set<FakeEngine> engines : byLoad.get(side)) {
      if (!engines.isEmpty()) {
        FakeEngine engine = engines.iterator().next();
        return isAllowed(engine, side, limit) ? engine : null;
      }
    }
    return null;
  }

  private boolean isAllowed(FakeEngine engine, int side, double limit) {
    return engine.accepting
        && fleet.sideOf(engine.zone) == side
        && engine.inFlight() <= limit
        && engine.inFlight() < BenchSettings.MAX_IN_FLIGHT;
  }

  private static boolean isLonger(FakeEngine a, FakeEngine b, BenchRequest request) {
    return a.cachedPrefix(request.chat()) > b.cachedPrefix(request.chat());
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
