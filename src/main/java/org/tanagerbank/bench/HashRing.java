package org.tanagerbank.bench;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;

/** Plain consistent hashing with virtual nodes, as a baseline. Immutable. */
final class HashRing {
  private static final int VIRTUAL_NODES = 100;

  private static final Cache<List<FakeEngine>, HashRing> RINGS =
      CacheBuilder.newBuilder().maximumSize(32).build();

  private final TreeMap<Long, FakeEngine> points = new TreeMap<>();
  private final int size;

  HashRing(List<FakeEngine> engines) {
    size = engines.size();
    for (FakeEngine engine : engines) {
      for (int v = 0; v < VIRTUAL_NODES; v++) {
        String point = engine.upstream.id() + "#" + v;
        points.put(
            Hashing.murmur3_128().hashString(point, StandardCharsets.UTF_8).asLong(), engine);
      }
    }
  }

  /** Returns the ring of a list; entries with the same list share one. */
  static HashRing shared(List<FakeEngine> engines) {
    try {
      return RINGS.get(engines, () -> new HashRing(engines));
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the first engine clockwise that is not excluded, or null when there is none. */
  FakeEngine choose(long hash, ImmutableSet<String> excluded) {
    if (size <= excluded.size()) {
      return null;
    }
    Long at = points.ceilingKey(hash);
    for (int i = 0; i < points.size(); i++) {
      at = at == null ? points.firstKey() : at;
      FakeEngine engine = points.get(at);
      if (!excluded.contains(engine.upstream.id())) {
        return engine;
      }
      at = points.higherKey(at);
    }
    return null;
  }
}
