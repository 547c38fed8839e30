package org.tanagerbank.dispatch;

import java.util.List;
import java.util.Optional;
import org.tanagerbank.admission.AdmissionDecision;
import org.tanagerbank.admission.AdmissionRequest;
import org.tanagerbank.admission.ServiceAdmission;
import org.tanagerbank.admission.ServiceLoad;
import org.tanagerbank.stream.StreamOrigin;

/**
 * Finds the upstream for each attempt of one request, or why it must wait or is refused: the
 * candidates that were not tried, what may crash them, the choice and the admission. Not
 * thread-safe; confined to the event loop.
 */
final class RequestPlacer {
  private final Dispatcher dispatcher;
  private final PlacedRequest request;
  private final RequestSuspects suspects;
  private final String service;
  private final RequestLog log;
  private final RequestUpstreams upstreams;
  private long placedAtMillis;
  private double runningShare = 1;
  private Optional<UpstreamHandle> placedAt = Optional.empty();

  RequestPlacer(
      Dispatcher dispatcher,
      PlacedRequest request,
      RequestSuspects suspects,
      String service,
      RequestLog log) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.suspects = suspects;
    this.service = service;
    this.log = log;
    this.upstreams =
        new RequestUpstreams(dispatcher, service, request.route(), request.workspace());
  }

  /** Returns whether an upstream is left that can run the request or go on with its stream. */
  boolean hasCandidate(Optional<StreamOrigin> origin) {
    return !upstreams.candidates(origin).isEmpty();
  }

  /** Returns how the next attempt of the request proceeds; an upstream is returned only once. */
  PlacementResult place(RequestExecution execution, PlacementState state) {
    SuspectAdmission admission =
        dispatcher.crashGuard().admit(suspects, execution, upstreams.candidates(state.origin()));
    return switch (admission.kind()) {
      case RUN, TRIAL -> choose(admission, state);
      case WAIT -> waitForTrial(state);
      case REFUSED_FOR_NOW ->
          PlacementResult.refused(
              Refusal.onTrial(admission.retryAfterMillis(), dispatcher.random()));
      case REFUSED -> PlacementResult.refused(Refusal.quarantined(admission.retryAfterMillis()));
    };
  }

  /**
   * Lets a request wait for its trial while an upstream still has the time to respond in. Later,
   * the response that has begun would be cut off at the time limit.
   */
  private PlacementResult waitForTrial(PlacementState state) {
    return state.timeLeftMillis() < request.route().objectiveMillis()
        ? PlacementResult.refused(Refusal.notRun("no time is left after the wait for a trial"))
        : PlacementResult.waiting();
  }

  private PlacementResult choose(SuspectAdmission admission, PlacementState state) {
    if (!state.mayBeSent().getAsBoolean()) {
      return PlacementResult.refused(Refusal.notRun("no retry is left"));
    }
    long now = dispatcher.nowMillis();
    List<UpstreamHandle> candidates = admission.candidates();
    List<UpstreamHandle> ofService = upstreams.inHomeRegions();
    Optional<UpstreamChoice> chosen =
        admission.onTrial().isPresent()
            ? Placement.chooseForTrial(candidates, request.fingerprint(), now)
            : Placement.choose(candidates, placementRequest(ofService, now));
    if (chosen.isEmpty()) {
      return PlacementResult.refused(
          noUpstreamLeft("no upstream of the service is left", state.origin()));
    }
    UpstreamChoice choice = chosen.get();
    Optional<Refusal> refusal =
        admission.onTrial().isPresent() || !dispatcher.settings().shedsLoad()
            ? Optional.empty()
            : refusal(ofService, candidates, choice, state);
    if (refusal.isPresent()) {
      return PlacementResult.refused(refusal.get());
    }
    upstreams.recordTried(choice.upstream());
    placedAtMillis = now;
    placedAt = Optional.of(choice.upstream());
    runningShare = ServiceLoads.runningShare(choice.upstream(), now);
    log.placed(choice, candidates.size(), request.prompt(), state.timeLeftMillis());
    return PlacementResult.sent(choice, admission.onTrial());
  }

  private PlacementRequest placementRequest(List<UpstreamHandle> ofService, long nowMillis) {
    return new PlacementRequest(
        request.prompt(),
        request.route().objectiveMillis(),
        dispatcher.settings().zone(),
        dispatcher.settings().loadMultiple(),
        ofService,
        nowMillis,
        dispatcher.random());
  }

  private Optional<Refusal> refusal(
      List<UpstreamHandle> ofService,
      List<UpstreamHandle> candidates,
      UpstreamChoice choice,
      PlacementState state) {
    long now = dispatcher.nowMillis();
    ServiceAdmission admission = dispatcher.upstreams().admission(service);
    ServiceLoad load =
        ServiceLoads.of(
            ofService,
            candidates,
            choice,
            request.prompt(),
            request.isStream(),
            admission.requestMillis(),
            now);
    AdmissionRequest asked = request.toAdmission(state, dispatcher.upstreams().wallMillis());
    AdmissionDecision decision = admission.decide(asked, load, now, dispatcher.random());
    if (decision.isSent()) {
      return Optional.empty();
    }
    Refusal refusal = Refusal.notAdmitted(decision);
    log.notAdmitted(service, asked, load, refusal);
    dispatcher.observer().requestNotAdmitted(service, asked.priority(), refusal.metricReason());
    return Optional.of(refusal);
  }

  /** Returns the refusal of a request that no upstream can run now. */
  Refusal noUpstreamLeft(String reason, Optional<StreamOrigin> origin) {
    return upstreams.refusal(reason, origin);
  }

  /** Records the complete answer of the upstream that was returned last. */
  void recordAnswered() {
    long now = dispatcher.nowMillis();
    double shareNow = placedAt.map(u -> ServiceLoads.runningShare(u, now)).orElse(1.0);
    dispatcher
        .upstreams()
        .admission(service)
        .recordAnswered(now - placedAtMillis, runningShare, shareNow);
  }
}
