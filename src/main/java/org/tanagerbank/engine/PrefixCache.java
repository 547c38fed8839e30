package org.tanagerbank.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts that an engine is believed to keep; the least recently used are dropped first.
 *
 * <p>Not thread-safe; confined to the thread of its engine model.
 */
final class PrefixCache {
  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_PARTS = 16;

  /** Bounds the heap that the caches of many engines take. */
  private static final int MAX_PARTS = 2_048;

  private final Map<Long, Integer> parts =
      new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, /* accessOrder= */ true);
  private long tokens;

  /** Returns how many tokens at the start of a prompt are cached. */
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

  /** Notes that the parts of a prompt are read, and drops others beyond the capacity. */
  void read(Prompt prompt, long capacityTokens) {
    for (PromptPart part : prompt.parts()) {
      Integer known = parts.put(part.id(), part.tokens());
      tokens += part.tokens() - (known == null ? 0 : known);
    }
    var oldest = parts.entrySet().iterator();
    while ((tokens > capacityTokens || parts.size() > MAX_PARTS) && oldest.hasNext()) {
      tokens -= oldest.next().getValue();
      oldest.remove();
    }
  }
}
