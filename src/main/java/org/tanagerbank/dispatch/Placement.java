package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.routing.SlotTable;

/**
 * Chooses the upstream of a request.
 *
 * <p>Among engines that are expected to answer in time, the one that has the least of the prompt
 * still to read; what another engine has cached is fetched from there. What none has cached begins
 * at its home, which all instances agree on. Among plain upstreams, the least loaded. Stateless
 * decision code, thread-safe.
 */
final class Placement {
  /** Requests that an upstream may hold beyond a multiple of the mean; the rule allows 3. */
  private static final int LOAD_SLACK = 2;

  /** Stays below the multiple of the platform, because views of peers' requests lag. */
  private static final double LOAD_MARGIN = 0.8;

  /** An engine is expected to answer in time below this share of the objective. */
  private static final double ON_TIME_SHARE = 0.7;

  /** What one more running request costs the others of an engine, in prompt tokens to read. */
  private static final double TOKENS_PER_REQUEST = 20;

  /** The share of the tokens that no engine keeps by which the home of a session is preferred. */
  private static final double HOME_SHARE = 0.6;

  /** What a token that is fetched from another engine costs, against one that is read. */
  private static final double FETCHED_TOKEN_COST = 0.2;

  /** Larger than every cost of an engine that answers in time. */
  private static final double LATE = 1e9;

  private static final double OTHER_ZONE_MILLIS = 0.5;

  private Placement() {}

  /**
   * Returns the upstream to send to, or nothing when none may be used.
   *
   * @param upstreams the upstreams of the service that are not leaving and were not tried yet
   */
  static Optional<Choice> choose(List<UpstreamHandle> upstreams, PlacementRequest request) {
    long nowMillis = request.nowMillis();
    ImmutableList<UpstreamHandle> healthy =
        upstreams.stream()
            .filter(u -> !u.health().isAvoided(nowMillis))
            .collect(ImmutableList.toImmutableList());
    List<UpstreamHandle> usable = healthy.isEmpty() ? upstreams : healthy;
    List<UpstreamHandle> bounded = withinLoad(usable, request.loadMultiple(), nowMillis);
    if (request.prompt().isEmpty()) {
      return bounded.stream()
          .min(Comparator.comparingDouble(u -> plainCost(u, request.zone(), nowMillis)))
          .map(u -> new Choice(u, Optional.empty()));
    }
    Prompt prompt = request.prompt().get();
    CacheSources sources = CacheSources.of(request.keepers(), prompt, nowMillis);
    return bounded.stream()
        .map(u -> new Choice(u, sources.fetchFor(u, prompt)))
        .min(Comparator.comparingDouble(c -> engineCost(c, request, prompt, sources)));
  }

  private static List<UpstreamHandle> withinLoad(
      List<UpstreamHandle> upstreams, double loadMultiple, long nowMillis) {
    double mean = upstreams.stream().mapToInt(u -> u.fleetInFlight(nowMillis)).average().orElse(0);
    double bound = loadMultiple * LOAD_MARGIN * mean + LOAD_SLACK;
    List<UpstreamHandle> within =
        upstreams.stream()
            .filter(u -> u.fleetInFlight(nowMillis) < bound)
            .collect(Collectors.toList());
    return within.isEmpty() ? upstreams : within;
  }

  /**
   * Cost in tokens. Engines that are expected to miss the objective come after all others, by the
   * time to their first token.
   */
  private static double engineCost(
      Choice choice, PlacementRequest request, Prompt prompt, CacheSources sources) {
    UpstreamHandle handle = choice.upstream();
    if (handle.engine().isEmpty()) {
      return handle.fleetInFlight(request.nowMillis());
    }
    EngineModel engine = handle.engine().get();
    double first =
        engine.firstTokenMillis(prompt, choice.fetchedTokens(), request.nowMillis())
            + handle.upstream().coldMillis() / 10.0;
    if (first > ON_TIME_SHARE * request.objectiveMillis()) {
      return LATE + first;
    }
    int unkept = Math.max(0, prompt.sharedTokens() - sources.mostTokens());
    return engine.freshTokens(prompt)
        - (1 - FETCHED_TOKEN_COST) * choice.fetchedTokens()
        + TOKENS_PER_REQUEST * handle.fleetInFlight(request.nowMillis())
        - HOME_SHARE * unkept * nearness(handle, prompt);
  }

  /**
   * Returns a number from 0 to 1 that all instances agree on, highest at the home of a session. The
   * power sets the home well apart from the next engines.
   */
  private static double nearness(UpstreamHandle handle, Prompt prompt) {
    long draw = SlotTable.mix(SlotTable.idHash(handle.upstream().id()) ^ prompt.sessionId());
    double uniform = (draw >>> 11) * 0x1.0p-53;
    return uniform * uniform * uniform * uniform;
  }

  private static double plainCost(UpstreamHandle handle, String zone, long nowMillis) {
    double load = (double) handle.fleetInFlight(nowMillis) / handle.upstream().slots();
    double distance = handle.upstream().zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
    return load + handle.health().failureShare() + distance / 10;
  }
}
