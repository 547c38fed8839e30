package org.tanagerbank.standin;

import com.google.common.primitives.ImmutableLongArray;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt blocks that an engine caches, with eviction of the least recently used ones.
 *
 * <p>Within a prompt, later blocks count as less recently used than earlier ones, because a block
 * is useful only if all blocks before it are cached. Not thread-safe.
 */
final class SimulatedPrefixCache {
  private final int maxBlocks;
  private final CacheEvents events;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  SimulatedPrefixCache(int maxTokens, CacheEvents events) {
    this.maxBlocks = maxTokens / PromptBlocks.BLOCK_TOKENS;
    this.events = events;
  }

  /** Returns the number of leading blocks that are cached, and marks these blocks as used. */
  int match(ImmutableLongArray hashes) {
    int found = 0;
    while (found < hashes.length() && blocks.containsKey(hashes.get(found))) {
      found++;
    }
    for (int i = found - 1; i >= 0; i--) {
      blocks.get(hashes.get(i));
    }
    return found;
  }

  /** Adds the blocks of a prompt and evicts other blocks that exceed the limit. */
  void insert(ImmutableLongArray hashes) {
    for (int i = Math.min(hashes.length(), maxBlocks) - 1; i >= 0; i--) {
      if (blocks.put(hashes.get(i), true) == null) {
        events.add("stored", hashes.get(i));
      }
    }
    Iterator<Long> eldest = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      long evicted = eldest.next();
      eldest.remove();
      events.add("removed", evicted);
    }
  }

  int tokens() {
    return blocks.size() * PromptBlocks.BLOCK_TOKENS;
  }

  void clear() {
    blocks.clear();
    events.add("cleared", 0);
  }
}
