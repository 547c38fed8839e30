package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.routing.SlotTable;

/**
 * Chooses the upstream of a request.
 *
 * <p>Among engines that are expected to meet the objective, the one with the fewest prompt tokens
 * to prefill is preferred; parts that another engine has cached are fetched from there. A prompt
 * that no engine has cached goes to the home of its session, on which all instances agree. A cold
 * engine gets sessions that are at home there; others while no engine meets the objective. Among
 * other upstreams, the least loaded one is chosen, or the one with the least expected time where
 * they differ in speed. Stateless and thread-safe.
 */
final class Placement {
  /**
   * The number of requests that an upstream may have beyond the multiple of the mean. The load rule
   * of the platform allows 3.
   */
  private static final int EXTRA_REQUESTS = 2;

  /**
   * The share of the platform's load multiple that is used. The counts of other instances' requests
   * arrive with a delay, so the limit must stay below the one of the platform.
   */
  private static final double LOAD_MULTIPLE_SHARE = 0.8;

  /** The largest share of the objective that the predicted time to the first token may take. */
  private static final double ON_TIME_OBJECTIVE_SHARE = 0.7;

  /** The cost of slowing down the requests on an engine by one more, in prefilled tokens. */
  private static final double TOKENS_PER_RUNNING_REQUEST = 20;

  /**
   * The discount of the home of a session, as a share of the shared prompt tokens that no engine
   * has cached.
   */
  private static final double HOME_DISCOUNT_SHARE = 0.6;

  /** The cost of fetching a token from another engine, relative to prefilling it. */
  private static final double FETCHED_TOKEN_COST = 0.2;

  /**
   * The cost of one of the few requests that an upstream with a limit takes, in prefilled tokens.
   * Sessions whose parts it has cached are worth more.
   */
  private static final double LIMITED_REQUEST_TOKENS = 100;

  /** The same for an upstream that is no engine, in fully loaded upstreams. */
  private static final double LIMITED_REQUEST_LOAD = 0.5;

  /**
   * The cost of a request at a cold engine unless its session is at home there, in prefilled
   * tokens. Exceeds the cost of every engine that meets the objective and is not cold.
   */
  private static final double COLD_COST = 1e7;

  /** The cost of a request at a cold upstream that is no engine, in fully loaded upstreams. */
  private static final double COLD_REQUEST_LOAD = 1;

  /** The cost of missing the objective. Exceeds the cost of every engine that meets it. */
  private static final double MISSED_OBJECTIVE_COST = 1e9;

  /**
   * The extra latency of an upstream in another availability zone, in milliseconds. Ten
   * milliseconds count as much as a fully loaded upstream.
   */
  private static final double OTHER_ZONE_MILLIS = 0.5;

  private Placement() {}

  /**
   * Returns the upstream to send a request to, or empty if there are no candidates. Upstreams that
   * are unhealthy or above the load limit are chosen only if all candidates are.
   *
   * @param upstreams the upstreams of the service that are not draining and were not tried yet
   */
  static Optional<UpstreamChoice> choose(List<UpstreamHandle> upstreams, PlacementRequest request) {
    long nowMillis = request.nowMillis();
    List<UpstreamHandle> candidates = belowLoadLimit(preferHealthy(upstreams, nowMillis), request);
    if (request.prompt().isEmpty()) {
      return cheapest(candidates, u -> nonEngineCost(u, request))
          .map(u -> new UpstreamChoice(u, Optional.empty()));
    }
    Prompt prompt = request.prompt().get();
    CacheSources sources = CacheSources.of(request.cacheCandidates(), prompt, nowMillis);
    return candidates.stream()
        .map(u -> new UpstreamChoice(u, sources.fetchFor(u, prompt)))
        .min(Comparator.comparingDouble(c -> engineCost(c, request, prompt, sources)));
  }

  /**
   * Returns the upstream for a trial of a request that may crash it, or empty if there are no
   * candidates. It has few requests and few cached parts that others share, which a crash would end
   * too. Different requests get different upstreams where possible, so that two trials do not end
   * at one crash.
   */
  static Optional<UpstreamChoice> chooseForTrial(
      List<UpstreamHandle> upstreams, Fingerprint fingerprint, long nowMillis) {
    ImmutableList<UpstreamHandle> usable = preferHealthy(upstreams, nowMillis);
    ImmutableList<UpstreamHandle> idle =
        lowerHalf(usable, Comparator.comparingInt(u -> u.fleetInFlight(nowMillis)));
    return lowerHalf(idle, Comparator.comparingInt(Placement::sharedCachedTokens)).stream()
        .max(
            Comparator.comparingLong(
                u -> SlotTable.mixBits(SlotTable.idHash(u.report().id()) ^ fingerprint.value())))
        .map(u -> new UpstreamChoice(u, Optional.empty()));
  }

  /** Returns the length in tokens of the cached prompt parts that several requests share. */
  private static int sharedCachedTokens(UpstreamHandle handle) {
    return handle.engine().stream()
        .flatMap(e -> e.sharedParts().stream())
        .mapToInt(PromptPart::tokens)
        .sum();
  }

  private static ImmutableList<UpstreamHandle> lowerHalf(
      List<UpstreamHandle> upstreams, Comparator<UpstreamHandle> order) {
    return upstreams.stream()
        .sorted(order)
        .limit((upstreams.size() + 1) / 2)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the upstreams that are not avoided, or all if there are no others. */
  private static ImmutableList<UpstreamHandle> preferHealthy(
      List<UpstreamHandle> upstreams, long nowMillis) {
    ImmutableList<UpstreamHandle> healthy =
        upstreams.stream()
            .filter(u -> !u.health().isAvoided(nowMillis))
            .collect(ImmutableList.toImmutableList());
    return healthy.isEmpty() ? ImmutableList.copyOf(upstreams) : healthy;
  }

  /**
   * Returns the upstreams below the load limit, or all if there are none. Upstreams in evacuated
   * zones count for the mean, as they do for the platform.
   */
  private static List<UpstreamHandle> belowLoadLimit(
      List<UpstreamHandle> upstreams, PlacementRequest request) {
    long nowMillis = request.nowMillis();
    double mean = meanInFlight(upstreams, request);
    double maxRequests = request.loadMultiple() * LOAD_MULTIPLE_SHARE * mean + EXTRA_REQUESTS;
    List<UpstreamHandle> belowLimit =
        upstreams.stream()
            .filter(u -> u.fleetInFlight(nowMillis) < maxRequests)
            .collect(Collectors.toList());
    return belowLimit.isEmpty() ? upstreams : belowLimit;
  }

  private static double meanInFlight(List<UpstreamHandle> upstreams, PlacementRequest request) {
    long total = 0;
    int count = 0;
    for (UpstreamHandle upstream : upstreams) {
      total += upstream.fleetInFlight(request.nowMillis());
      count++;
    }
    for (UpstreamHandle upstream : request.cacheCandidates()) {
      if (upstream.isEvacuated() && !upstream.isLeaving()) {
        total += upstream.fleetInFlight(request.nowMillis());
        count++;
      }
    }
    return count == 0 ? 0 : (double) total / count;
  }

  /**
   * Returns the cost of a choice in prefilled tokens. Engines that are expected to miss the
   * objective rank after all others, in the order of their predicted time to the first token.
   */
  private static double engineCost(
      UpstreamChoice choice, PlacementRequest request, Prompt prompt, CacheSources sources) {
    UpstreamHandle handle = choice.upstream();
    if (handle.engine().isEmpty()) {
      return handle.fleetInFlight(request.nowMillis());
    }
    EngineModel engine = handle.engine().get();
    double firstTokenMillis =
        engine.firstTokenMillis(prompt, choice.fetchedTokens(), request.nowMillis())
            + handle.slowStartMillis(request.nowMillis());
    if (firstTokenMillis > ON_TIME_OBJECTIVE_SHARE * request.objectiveMillis()) {
      return MISSED_OBJECTIVE_COST + firstTokenMillis;
    }
    int uncachedEverywhere = Math.max(0, prompt.sharedTokens() - sources.maxCachedTokens());
    return engine.uncachedTokens(prompt)
        - (1 - FETCHED_TOKEN_COST) * choice.fetchedTokens()
        + TOKENS_PER_RUNNING_REQUEST * handle.fleetInFlight(request.nowMillis())
        + (handle.isSavingRoom(request.nowMillis()) ? LIMITED_REQUEST_TOKENS : 0)
        + (handle.isCold(request.nowMillis()) && !isHome(handle, request, prompt) ? COLD_COST : 0)
        - HOME_DISCOUNT_SHARE * uncachedEverywhere * homeAffinity(handle, prompt);
  }

  /**
   * Returns a pseudo-random number from 0 to 1 that depends only on the upstream and the session,
   * so that all instances agree on it. The engine with the highest number is the home of the
   * session. The fourth power separates the home clearly from the next engines.
   */
  private static double homeAffinity(UpstreamHandle handle, Prompt prompt) {
    long hash = SlotTable.mixBits(SlotTable.idHash(handle.report().id()) ^ prompt.sessionId());
    double uniform = (hash >>> 11) * 0x1.0p-53;
    return uniform * uniform * uniform * uniform;
  }

  /** Returns whether requests of the session of a prompt will usually come to an engine. */
  private static boolean isHome(UpstreamHandle handle, PlacementRequest request, Prompt prompt) {
    double affinity = homeAffinity(handle, prompt);
    return prompt.sharedTokens() > 0
        && request.cacheCandidates().stream().noneMatch(u -> homeAffinity(u, prompt) > affinity);
  }

  /** Returns the first upstream of the lowest cost. A cost may be drawn, so each is asked once. */
  private static Optional<UpstreamHandle> cheapest(
      List<UpstreamHandle> upstreams, ToDoubleFunction<UpstreamHandle> cost) {
    UpstreamHandle best = null;
    double lowest = 0;
    for (UpstreamHandle upstream : upstreams) {
      double own = cost.applyAsDouble(upstream);
      if (best == null || own < lowest) {
        best = upstream;
        lowest = own;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the cost of an upstream that is no engine: the requests over its slots, or its expected
   * time relative to the service where upstreams were found to differ.
   */
  private static double nonEngineCost(UpstreamHandle handle, PlacementRequest request) {
    long nowMillis = request.nowMillis();
    int inFlight = handle.fleetInFlight(nowMillis);
    double load =
        handle.isPlacedByTime(nowMillis)
            ? handle.capacity().cost(inFlight, nowMillis, request.random())
            : (double) inFlight / handle.report().slots();
    double zoneMillis = handle.report().zone().equals(request.zone()) ? 0 : OTHER_ZONE_MILLIS;
    double limitCost = handle.isSavingRoom(nowMillis) ? LIMITED_REQUEST_LOAD : 0;
    double coldCost = handle.isCold(nowMillis) ? COLD_REQUEST_LOAD : 0;
    return load + handle.health().failureShare() + zoneMillis / 10 + limitCost + coldCost;
  }
}
