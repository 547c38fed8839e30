package org.tanagerbank.bench;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;

/**
 * Plain consistent hashing with virtual nodes and without a load bound, used as a baseline.
 *
 * <p>Immutable.
 */
final class HashRing {
  private static final int VIRTUAL_NODES = 100;

  private static final Cache<List<SimulatedEngine>, HashRing> RINGS =
      CacheBuilder.newBuilder().maximumSize(32).build();

  private final TreeMap<Long, SimulatedEngine> engineByPoint = new TreeMap<>();
  private final int engineCount;

  HashRing(List<SimulatedEngine> engines) {
    engineCount = engines.size();
    for (SimulatedEngine engine : engines) {
      for (int v = 0; v < VIRTUAL_NODES; v++) {
        String point = engine.upstream.id() + "#" + v;
        engineByPoint.put(
            Hashing.murmur3_128().hashString(point, StandardCharsets.UTF_8).asLong(), engine);
      }
    }
  }

  /** Returns the ring of a list of engines; entries with equal lists share a ring. */
  static HashRing shared(List<SimulatedEngine> engines) {
    try {
      return RINGS.get(engines, () -> new HashRing(engines));
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns the first engine at or after the hash that is not excluded, or null when there is none.
   */
  SimulatedEngine choose(long hash, ImmutableSet<String> excluded) {
    if (engineCount <= excluded.size()) {
      return null;
    }
    Long point = engineByPoint.ceilingKey(hash);
    for (int i = 0; i < engineByPoint.size(); i++) {
      point = point == null ? engineByPoint.firstKey() : point;
      SimulatedEngine engine = engineByPoint.get(point);
      if (!excluded.contains(engine.upstream.id())) {
        return engine;
      }
      point = engineByPoint.higherKey(point);
    }
    return null;
  }
}
