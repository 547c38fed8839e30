package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.routing.SlotTable;

/**
 * Chooses the upstream of a request.
 *
 * <p>Among engines, the one that is expected to give the first token soonest, counting the work of
 * reading a prompt again; a session that no engine has cached begins at its home, which all
 * instances agree on. Among plain upstreams, the least loaded. Stateless decision code,
 * thread-safe.
 */
final class Placement {
  /** Requests that an upstream may hold beyond a multiple of the mean; the rule allows 3. */
  private static final int LOAD_SLACK = 2;

  /** Stays below the multiple of the platform, because views of peers' requests lag. */
  private static final double LOAD_MARGIN = 0.8;

  /** The share of the reading time by which the home of a session is preferred. */
  private static final double HOME_PREFERENCE = 0.6;

  /** What reading a prompt costs other requests of the engine, beside its own delay. */
  private static final double READING_WEIGHT = 1.0;

  private static final double OTHER_ZONE_MILLIS = 0.5;

  private Placement() {}

  /**
   * Returns the upstream to send to, or nothing when none may be used.
   *
   * @param upstreams the upstreams of the service that are not leaving and were not tried yet
   */
  static Optional<UpstreamHandle> choose(
      List<UpstreamHandle> upstreams,
      Optional<Prompt> prompt,
      String zone,
      double loadMultiple,
      long nowMillis) {
    ImmutableList<UpstreamHandle> healthy =
        upstreams.stream()
            .filter(u -> !u.health().isAvoided(nowMillis))
            .collect(ImmutableList.toImmutableList());
    List<UpstreamHandle> usable = healthy.isEmpty() ? upstreams : healthy;
    List<UpstreamHandle> bounded = withinLoad(usable, loadMultiple, nowMillis);
    ToDoubleFunction<UpstreamHandle> cost =
        prompt.isPresent()
            ? engineCost(bounded, prompt.get(), nowMillis)
            : u -> plainCost(u, zone, nowMillis);
    return bounded.stream().min(Comparator.comparingDouble(cost));
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

  private static ToDoubleFunction<UpstreamHandle> engineCost(
      List<UpstreamHandle> upstreams, Prompt prompt, long nowMillis) {
    Optional<UpstreamHandle> home =
        upstreams.stream()
            .max(
                Comparator.comparingLong(
                    u -> SlotTable.mix(SlotTable.idHash(u.upstream().id()) ^ prompt.sessionId())));
    return u -> engineCost(u, home.get() == u, prompt, nowMillis);
  }

  private static double engineCost(
      UpstreamHandle handle, boolean isHome, Prompt prompt, long nowMillis) {
    if (handle.engine().isEmpty()) {
      return handle.fleetInFlight(nowMillis);
    }
    EngineModel engine = handle.engine().get();
    double reading = engine.readMillis(prompt);
    double preference = isHome ? HOME_PREFERENCE * reading : 0;
    return engine.firstTokenMillis(prompt, nowMillis)
        + READING_WEIGHT * reading
        - preference
        + handle.upstream().coldMillis() / 10.0;
  }

  private static double plainCost(UpstreamHandle handle, String zone, long nowMillis) {
    double load = (double) handle.fleetInFlight(nowMillis) / handle.upstream().slots();
    double distance = handle.upstream().zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
    return load + handle.health().failureShare() + distance / 10;
  }
}
