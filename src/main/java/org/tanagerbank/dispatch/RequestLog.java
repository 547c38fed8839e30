package org.tanagerbank.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.tanagerbank.admission.AdmissionRequest;
import org.tanagerbank.admission.ServiceLoad;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.route.Route;

/** Logs the events of one request. Not thread-safe; confined to the event loop. */
final class RequestLog {
  /** The value of {@code millisSinceSend} for an attempt that sent no request. */
  private static final long NOT_SENT = -1;

  /** The value of {@code firstMillis} for a request that got no response of an upstream. */
  private static final long NOT_BEGUN = -1;

  private final Dispatcher dispatcher;
  private final String requestId;
  private final Fingerprint fingerprint;
  private final Route route;
  private final long receivedAtMillis;
  private OptionalLong firstMillis = OptionalLong.empty();

  RequestLog(
      Dispatcher dispatcher,
      String requestId,
      Fingerprint fingerprint,
      Route route,
      long receivedAtMillis) {
    this.dispatcher = dispatcher;
    this.requestId = requestId;
    this.fingerprint = fingerprint;
    this.route = route;
    this.receivedAtMillis = receivedAtMillis;
  }

  void placed(UpstreamChoice choice, int candidates, Optional<Prompt> prompt, long timeLeftMillis) {
    UpstreamHandle upstream = choice.upstream();
    EventLog.emit(
        LogEvent.REQUEST_PLACED,
        "request",
        requestId,
        "fingerprint",
        fingerprint,
        "route",
        route.name(),
        "upstream",
        upstream.report().id(),
        "version",
        upstream.report().softwareVersion(),
        "report",
        upstream.report().reportNumber(),
        "inFlight",
        upstream.fleetInFlight(dispatcher.nowMillis()),
        "candidates",
        candidates,
        "session",
        prompt.map(p -> Long.toHexString(p.sessionId())).orElse(""),
        "parts",
        prompt.map(RequestLog::sharedPartIds).orElse(""),
        "freshTokens",
        upstream.uncachedTokens(prompt),
        "fetchedTokens",
        choice.fetchedTokens(),
        "fetchedFrom",
        choice.fetch().map(f -> f.source().report().id()).orElse(""),
        "firstTokenMillis",
        upstream.firstTokenMillis(prompt, choice.fetchedTokens(), dispatcher.nowMillis()),
        "timeLeftMillis",
        timeLeftMillis);
  }

  /** Records that the request is refused because its service has too little room. */
  void notAdmitted(String service, AdmissionRequest asked, ServiceLoad load, Refusal refusal) {
    EventLog.emit(
        LogEvent.REQUEST_NOT_ADMITTED,
        "request",
        requestId,
        "fingerprint",
        fingerprint,
        "route",
        route.name(),
        "service",
        service,
        "workspace",
        asked.workspace(),
        "priority",
        asked.priority(),
        "size",
        asked.size(),
        "reason",
        refusal.metricReason(),
        "taken",
        load.taken(),
        "slots",
        load.slots(),
        "waitMillis",
        Math.round(load.waitMillis()),
        "ownMillis",
        Math.round(load.ownMillis()),
        "objectiveMillis",
        route.objectiveMillis(),
        "timeLeftMillis",
        asked.timeLeftMillis(),
        "retryAfterMillis",
        refusal.retryAfterMillis());
  }

  private static String sharedPartIds(Prompt prompt) {
    return prompt.sharedParts().stream()
        .map(p -> Long.toHexString(p.id()))
        .collect(Collectors.joining(","));
  }

  void attemptFailed(
      UpstreamHandle upstream,
      AttemptFailure failure,
      AttemptEvidence evidence,
      int sentAttempts,
      long timeLeftMillis) {
    EventLog.emit(
        LogEvent.REQUEST_ATTEMPT_FAILED,
        "request",
        requestId,
        "fingerprint",
        fingerprint,
        "upstream",
        upstream.report().id(),
        "reason",
        failure.reason(),
        "verdict",
        failure.verdict(),
        "status",
        evidence.status(),
        "responseId",
        evidence.responseId(),
        "notRunMarker",
        evidence.hasNotRunMarker(),
        "signature",
        evidence.hasSignature(),
        "millisSinceSend",
        evidence.millisSinceSend().orElse(NOT_SENT),
        "sent",
        sentAttempts,
        "timeLeftMillis",
        timeLeftMillis);
  }

  void responseSkipped(UpstreamHandle upstream, AttemptEvidence evidence) {
    EventLog.emit(
        LogEvent.RESPONSE_SKIPPED,
        "request",
        requestId,
        "upstream",
        upstream.report().id(),
        "status",
        evidence.status(),
        "notRunMarker",
        evidence.hasNotRunMarker(),
        "signature",
        evidence.hasSignature(),
        "millisSinceSend",
        evidence.millisSinceSend().orElse(NOT_SENT));
  }

  void responseEndedWithConnection(
      UpstreamHandle upstream, SurvivalCheck.Result upstreamState, AttemptEvidence evidence) {
    EventLog.emit(
        LogEvent.RESPONSE_ENDED_WITH_CONNECTION,
        "request",
        requestId,
        "upstream",
        upstream.report().id(),
        "status",
        evidence.status(),
        "upstreamState",
        upstreamState,
        "millisSinceSend",
        evidence.millisSinceSend().orElse(NOT_SENT));
  }

  /** Records that the caller gets the first part of a response of an upstream. */
  void responseBegun() {
    firstMillis = OptionalLong.of(dispatcher.nowMillis() - receivedAtMillis);
  }

  void ended(int status, String reason, int sentAttempts, long millis) {
    EventLog.emit(
        LogEvent.REQUEST_ENDED,
        "request",
        requestId,
        "route",
        route.name(),
        "status",
        status,
        "reason",
        reason,
        "sent",
        sentAttempts,
        "millis",
        millis,
        "firstMillis",
        firstMillis.orElse(NOT_BEGUN),
        "objectiveMillis",
        route.objectiveMillis());
  }
}
