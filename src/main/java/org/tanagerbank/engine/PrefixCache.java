package org.tanagerbank.engine;

import com.google.common.collect.ImmutableList;
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

  private final Map<Long, Kept> parts =
      new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, /* accessOrder= */ true);
  private long tokens;

  /**
   * A part that is kept.
   *
   * @param tokens its length
   * @param isShared whether several requests used it, or others told of it
   */
  private record Kept(int tokens, boolean isShared) {}

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
      Kept known = parts.get(part.id());
      parts.put(part.id(), new Kept(part.tokens(), known != null));
      tokens += part.tokens() - (known == null ? 0 : known.tokens());
    }
    var oldest = parts.entrySet().iterator();
    while ((tokens > capacityTokens || parts.size() > MAX_PARTS) && oldest.hasNext()) {
      tokens -= oldest.next().getValue().tokens();
      oldest.remove();
    }
  }

  /** Notes that parts are kept of which others told. */
  void restore(Iterable<PromptPart> told) {
    for (PromptPart part : told) {
      if (parts.size() < MAX_PARTS && !parts.containsKey(part.id())) {
        parts.put(part.id(), new Kept(part.tokens(), true));
        tokens += part.tokens();
      }
    }
  }

  /** Returns the parts that several requests share, the least recently used first. */
  ImmutableList<PromptPart> sharedParts() {
    return parts.entrySet().stream()
        .filter(e -> e.getValue().isShared())
        .map(e -> new PromptPart(e.getKey(), e.getValue().tokens()))
        .collect(ImmutableList.toImmutableList());
  }
}
