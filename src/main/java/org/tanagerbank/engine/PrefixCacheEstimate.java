package org.tanagerbank.engine;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts that an engine is expected to have cached. The least recently used parts are
 * evicted first.
 *
 * <p>Not thread-safe; confined to the thread of its engine model.
 */
final class PrefixCacheEstimate {
  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_PARTS = 16;

  /** The largest number of parts. Limits the heap memory that the caches of many engines use. */
  private static final int MAX_PARTS = 2_048;

  private final Map<Long, CachedPart> parts =
      new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, /* accessOrder= */ true);
  private long tokens;

  /**
   * A cached part.
   *
   * @param tokens the length of the part in tokens
   * @param isShared whether several requests used the part or it was reported as cached
   */
  private record CachedPart(int tokens, boolean isShared) {}

  /** Returns the number of tokens at the beginning of a prompt that are cached. */
  int cachedTokens(Prompt prompt) {
    int sum = 0;
    for (PromptPart part : prompt.parts()) {
      if (!parts.containsKey(part.id())) {
        break;
      }
      sum += part.tokens();
    }
    return sum;
  }

  /**
   * Adds the parts of a prompt and evicts the oldest parts while the cache exceeds its capacity.
   */
  void add(Prompt prompt, long capacityTokens) {
    for (PromptPart part : prompt.parts()) {
      CachedPart previous = parts.get(part.id());
      parts.put(part.id(), new CachedPart(part.tokens(), previous != null));
      tokens += part.tokens() - (previous == null ? 0 : previous.tokens());
    }
    var entries = parts.entrySet().iterator();
    while ((tokens > capacityTokens || parts.size() > MAX_PARTS) && entries.hasNext()) {
      tokens -= entries.next().getValue().tokens();
      entries.remove();
    }
  }

  /** Adds parts that were reported as cached, as far as the limit on the number of parts allows. */
  void addShared(Iterable<PromptPart> reported) {
    for (PromptPart part : reported) {
      if (parts.size() < MAX_PARTS && !parts.containsKey(part.id())) {
        parts.put(part.id(), new CachedPart(part.tokens(), true));
        tokens += part.tokens();
      }
    }
  }

  /** Returns the parts that several requests share, the least recently used one first. */
  ImmutableList<PromptPart> sharedParts() {
    return parts.entrySet().stream()
        .filter(e -> e.getValue().isShared())
        .map(e -> new PromptPart(e.getKey(), e.getValue().tokens()))
        .collect(ImmutableList.toImmutableList());
  }
}
