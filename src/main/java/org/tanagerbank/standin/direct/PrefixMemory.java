package org.tanagerbank.standin.direct;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;

/**
 * The memory of an engine in tokens, which running requests and cached prompt parts share.
 *
 * <p>A part is pinned while a run uses it. Parts that are not pinned yield to other use, the least
 * recently used first. Not thread-safe.
 */
final class PrefixMemory {
  /**
   * A prompt part in the cache. Immutable.
   *
   * @param model the model that read the part
   */
  record PartKey(String model, long id) {}

  private static final class CachedPart {
    private final int tokens;
    private int pins;

    private CachedPart(int tokens) {
      this.tokens = tokens;
    }
  }

  /** Cached parts, the least recently used first. */
  private final Map<PartKey, CachedPart> parts =
      new LinkedHashMap<>(16, 0.75f, /* accessOrder= */ true);

  private final long capacityTokens;
  private long usedTokens;
  private long pinnedTokens;
  private long privateTokens;

  PrefixMemory(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns the number of tokens that cannot yield. */
  long unyieldingTokens() {
    return pinnedTokens + privateTokens;
  }

  long capacityTokens() {
    return capacityTokens;
  }

  /** Returns the cached parts of a model's prompts. */
  ImmutableList<CachedPrompt> cachedParts() {
    return parts.entrySet().stream()
        .map(e -> new CachedPrompt(e.getKey().model(), e.getKey().id(), e.getValue().tokens))
        .collect(toImmutableList());
  }

  /**
   * Reserves the memory for the prompt of a run and for the output that it already has, and pins
   * the leading parts that are cached. Sets how much the run has to read.
   *
   * @return false, with nothing changed, if the memory does not suffice
   */
  boolean admit(EngineRun run) {
    Prompt prompt = run.prompt();
    int cachedParts = cachedPrefixParts(prompt);
    long cachedTokens =
        prompt.parts().stream().limit(cachedParts).mapToLong(PromptPart::tokens).sum();
    long missing = Math.max(0, prompt.promptTokens() - cachedTokens) + run.generatedTokens;
    pin(prompt, 0, cachedParts);
    if (!makeRoom(missing)) {
      unpin(prompt, 0, cachedParts);
      return false;
    }
    run.pinnedParts = cachedParts;
    run.privateTokens = missing;
    privateTokens += missing;
    usedTokens += missing;
    // The last token is always read, because its output is the next token.
    run.prefillTokensLeft = Math.max(1, missing);
    return true;
  }

  /** Moves the parts that a run has read from its own memory to the cache. */
  void cacheReadParts(EngineRun run) {
    List<PromptPart> prompt = run.prompt().parts();
    for (int i = run.pinnedParts; i < prompt.size(); i++) {
      int tokens = prompt.get(i).tokens();
      if (tokens > run.privateTokens) {
        // The parts are longer than the prompt; the rest is not cached.
        return;
      }
      PartKey key = new PartKey(run.prompt().model(), prompt.get(i).id());
      release(run, tokens);
      if (parts.putIfAbsent(key, new CachedPart(tokens)) == null) {
        usedTokens += tokens;
      }
      pin(run.prompt(), i, i + 1);
      run.pinnedParts = i + 1;
    }
  }

  /** Reserves the memory of one more token of a run, or returns false if there is none. */
  boolean grow(EngineRun run) {
    if (!makeRoom(1)) {
      return false;
    }
    run.privateTokens++;
    privateTokens++;
    usedTokens++;
    return true;
  }

  /** Releases all memory of a run; its prompt parts stay cached until they yield. */
  void release(EngineRun run) {
    release(run, run.privateTokens);
    if (run.pinnedParts > 0) {
      unpin(run.prompt(), 0, run.pinnedParts);
    }
    run.pinnedParts = 0;
  }

  private void release(EngineRun run, long tokens) {
    run.privateTokens -= tokens;
    privateTokens -= tokens;
    usedTokens -= tokens;
  }

  private int cachedPrefixParts(Prompt prompt) {
    int count = 0;
    for (PromptPart part : prompt.parts()) {
      if (!parts.containsKey(new PartKey(prompt.model(), part.id()))) {
        break;
      }
      count++;
    }
    return count;
  }

  private void pin(Prompt prompt, int from, int to) {
    for (PromptPart part : prompt.parts().subList(from, to)) {
      CachedPart cached = parts.get(new PartKey(prompt.model(), part.id()));
      pinnedTokens += cached.pins == 0 ? cached.tokens : 0;
      cached.pins++;
    }
  }

  private void unpin(Prompt prompt, int from, int to) {
    for (PromptPart part : prompt.parts().subList(from, to)) {
      CachedPart cached = parts.get(new PartKey(prompt.model(), part.id()));
      cached.pins--;
      pinnedTokens -= cached.pins == 0 ? cached.tokens : 0;
    }
  }

  /** Evicts parts until the tokens fit; evicts nothing if they cannot fit. */
  private boolean makeRoom(long tokens) {
    if (unyieldingTokens() + tokens > capacityTokens) {
      return false;
    }
    Iterator<CachedPart> leastRecentlyUsed = parts.values().iterator();
    while (usedTokens + tokens > capacityTokens) {
      CachedPart part = leastRecentlyUsed.next();
      if (part.pins == 0) {
        leastRecentlyUsed.remove();
        usedTokens -= part.tokens;
      }
    }
    return true;
  }
}
