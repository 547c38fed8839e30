package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;

/**
 * The engines that are believed to keep the start of a prompt, among those that can be reached.
 *
 * <p>An engine that takes no more requests because it leaves can still be fetched from. Immutable.
 */
final class CacheSources {
  /** Reading fewer tokens takes no longer than a transfer. */
  private static final int MIN_TOKENS = 200;

  private final ImmutableList<Keeper> keepers;

  private record Keeper(UpstreamHandle handle, int tokens) {}

  private CacheSources(ImmutableList<Keeper> keepers) {
    this.keepers = keepers;
  }

  /** Returns the engines of a service that keep some of a prompt. */
  static CacheSources of(Collection<UpstreamHandle> engines, Prompt prompt, long nowMillis) {
    return new CacheSources(
        engines.stream()
            .filter(u -> u.engine().isPresent() && !u.health().isAvoided(nowMillis))
            .map(u -> new Keeper(u, u.engine().get().cachedTokens(prompt)))
            .filter(k -> k.tokens() > 0)
            .sorted(Comparator.comparingInt(Keeper::tokens).reversed())
            .collect(toImmutableList()));
  }

  /** Returns the most tokens of the prompt that one engine keeps. */
  int mostTokens() {
    return keepers.isEmpty() ? 0 : keepers.get(0).tokens();
  }

  /** Returns what an engine should fetch, preferably within its availability zone. */
  Optional<CacheFetch> fetchFor(UpstreamHandle target, Prompt prompt) {
    if (!target.engine().map(EngineModel::canFetch).orElse(false)) {
      return Optional.empty();
    }
    int missing = mostTokens() - target.engine().get().cachedTokens(prompt);
    if (missing < MIN_TOKENS) {
      return Optional.empty();
    }
    String zone = target.upstream().zone();
    return keepers.stream()
        .takeWhile(k -> k.tokens() == mostTokens())
        .map(Keeper::handle)
        .max(Comparator.comparing(u -> u.upstream().zone().equals(zone)))
        .map(source -> new CacheFetch(source, missing));
  }
}
