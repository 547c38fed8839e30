package org.tanagerbank.dispatch;

import java.util.List;
import java.util.Optional;
import org.tanagerbank.admission.ServiceLoad;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;

/**
 * Finds out the load of a service as it concerns one request, from what this instance knows of its
 * upstreams. Stateless and thread-safe.
 */
final class ServiceLoads {
  private ServiceLoads() {}

  /**
   * Returns the load of a service.
   *
   * @param upstreams the upstreams of the service
   * @param candidates those to which the request may be sent
   * @param choice the one that was chosen among them
   * @param prompt the prompt, if the request is for an engine
   * @param isStream whether the response counts as begun at its first token, not at its end
   * @param requestMillis the mean time that a request of the service runs, in milliseconds
   */
  static ServiceLoad of(
      List<UpstreamHandle> upstreams,
      List<UpstreamHandle> candidates,
      UpstreamChoice choice,
      Optional<Prompt> prompt,
      boolean isStream,
      double requestMillis,
      long nowMillis) {
    int slots = 0;
    int taken = 0;
    boolean isAnyWaiting = false;
    for (UpstreamHandle upstream : upstreams) {
      if (upstream.acceptsRequests(nowMillis)) {
        slots += upstream.report().slots();
        taken += upstream.fleetInFlight(nowMillis);
        isAnyWaiting |= upstream.waiting(nowMillis) > 0;
      }
    }
    double leastOwnMillis = leastOwnMillis(choice, prompt, nowMillis);
    double ownMillis =
        isStream && leastOwnMillis > 0 ? leastOwnMillis : Math.max(leastOwnMillis, requestMillis);
    ServiceLoad load = new ServiceLoad(slots, taken, isAnyWaiting, 0, ownMillis, leastOwnMillis);
    if (load.hasFreePlaces()) {
      return load;
    }
    double waitMillis = Double.MAX_VALUE;
    for (UpstreamHandle candidate : candidates) {
      waitMillis = Math.min(waitMillis, waitMillis(candidate, prompt, requestMillis, nowMillis));
    }
    return new ServiceLoad(slots, taken, isAnyWaiting, waitMillis, ownMillis, leastOwnMillis);
  }

  /** Returns the share of the requests at an upstream that do not wait there. */
  static double runningShare(UpstreamHandle upstream, long nowMillis) {
    int inFlight = Math.max(1, upstream.fleetInFlight(nowMillis));
    return (double) Math.max(1, inFlight - upstream.waiting(nowMillis)) / inFlight;
  }

  /** Returns the predicted time for which one more request waits for a slot or for its prefill. */
  private static double waitMillis(
      UpstreamHandle upstream, Optional<Prompt> prompt, double requestMillis, long nowMillis) {
    int inFlight = upstream.fleetInFlight(nowMillis);
    int waiting = upstream.waiting(nowMillis);
    boolean mustWait = waiting > 0 || inFlight >= upstream.report().slots();
    int running = Math.max(1, inFlight - waiting);
    double slotMillis = mustWait ? (waiting + 1) * requestMillis / running : 0;
    return Math.max(slotMillis, engineWaitMillis(upstream, prompt, nowMillis));
  }

  private static double engineWaitMillis(
      UpstreamHandle upstream, Optional<Prompt> prompt, long nowMillis) {
    return upstream.engine().isPresent() && prompt.isPresent()
        ? upstream.engine().get().waitMillis(prompt.get(), nowMillis)
        : 0;
  }

  /** Returns the predicted time to the first token beyond the wait, or 0 without a prediction. */
  private static double leastOwnMillis(
      UpstreamChoice choice, Optional<Prompt> prompt, long nowMillis) {
    UpstreamHandle upstream = choice.upstream();
    if (upstream.engine().isEmpty() || prompt.isEmpty()) {
      return 0;
    }
    EngineModel engine = upstream.engine().get();
    return engine.firstTokenMillis(prompt.get(), choice.fetchedTokens(), nowMillis)
        - engine.waitMillis(prompt.get(), nowMillis);
  }
}
