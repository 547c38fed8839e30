package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;

/**
 * The engines that are expected to have the beginning of a prompt cached.
 *
 * <p>Engines that are avoided as unhealthy are left out, because a transfer from them may fail, and
 * so are those that have asked for a pause or are in an evacuated zone. A draining engine accepts
 * no new requests but remains a source. Cached parts are fetched only between engines of one
 * software version, because what two versions write may not fit together. Immutable.
 */
final class CacheSources {
  /** The fewest tokens that are fetched; prefilling fewer takes no longer than a transfer. */
  private static final int MIN_FETCHED_TOKENS = 200;

  private final ImmutableList<Source> sources;

  private record Source(UpstreamHandle handle, int tokens) {}

  private CacheSources(ImmutableList<Source> sources) {
    this.sources = sources;
  }

  /** Returns those of the given upstreams that can be a source for a prompt. */
  static CacheSources of(Collection<UpstreamHandle> engines, Prompt prompt, long nowMillis) {
    return new CacheSources(
        engines.stream()
            .filter(u -> u.engine().isPresent() && !u.health().isAvoided(nowMillis))
            .filter(u -> u.pausedUntilMillis(nowMillis).isEmpty() && !u.isEvacuated())
            .map(u -> new Source(u, u.engine().get().cachedTokens(prompt)))
            .filter(s -> s.tokens() > 0)
            .sorted(Comparator.comparingInt(Source::tokens).reversed())
            .collect(toImmutableList()));
  }

  /** Returns the largest number of tokens of the prompt that one engine has cached, or 0. */
  int maxCachedTokens() {
    return sources.isEmpty() ? 0 : sources.get(0).tokens();
  }

  /**
   * Returns the transfer that an engine should request, from a source in its own availability zone
   * if possible, or empty if a transfer is impossible or not worthwhile.
   */
  Optional<CacheFetch> fetchFor(UpstreamHandle target, Prompt prompt) {
    if (!target.engine().map(EngineModel::canFetch).orElse(false)) {
      return Optional.empty();
    }
    ImmutableList<Source> compatible =
        sources.stream()
            .filter(s -> s.handle().softwareHash() == target.softwareHash())
            .collect(toImmutableList());
    int most = compatible.isEmpty() ? 0 : compatible.get(0).tokens();
    int missingTokens = most - target.engine().get().cachedTokens(prompt);
    if (missingTokens < MIN_FETCHED_TOKENS) {
      return Optional.empty();
    }
    String zone = target.report().zone();
    return compatible.stream()
        .takeWhile(s -> s.tokens() == most)
        .map(Source::handle)
        .max(Comparator.comparing(u -> u.report().zone().equals(zone)))
        .map(source -> new CacheFetch(source, missingTokens));
  }
}
