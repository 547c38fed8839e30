package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.Workspace;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.upstream.UpstreamCall;

/**
 * Executes one request, from the choice of an upstream to the end of the response.
 *
 * <p>At most one {@link Attempt} at a time sends the request to an upstream and reports its result.
 * The caller gets exactly one response, at the latest when the time limit of the request expires.
 * Not thread-safe; confined to the event loop.
 */
final class RequestExecution {
  /** The time between two questions whether a suspect may run, in milliseconds. */
  private static final long TRIAL_POLL_MILLIS = 20;

  private static final int SUCCESS_CLASS = 2;
  private static final String STOPPED = "the instance stopped before the response was complete";

  private final Dispatcher dispatcher;
  private final CallerRequest request;
  private final CallerExchange exchange;
  private final CallerResponse response;
  private final Route route;
  private final Optional<Workspace> workspace;
  private final String requestId;
  private final Optional<Prompt> prompt;
  private final RequestSuspects suspects;
  private final String service;
  private final long deadline;
  private final RequestLog log;
  private final RetryReservation retry;
  private final RequestPlacer placer;
  private Verdict verdict = Verdict.NOT_RUN;
  private Attempt attempt;
  private ScheduledFuture<?> timeout;
  private int sentAttempts;
  private int connectFailures;
  private boolean ended;

  /** What wrote the events that the caller has; empty before the first event of a stream. */
  private Optional<StreamOrigin> origin;

  /** The id under which the stream is known if the caller takes it up again. */
  private final String streamId;

  RequestExecution(
      Dispatcher dispatcher,
      CallerRequest request,
      CallerExchange exchange,
      Route route,
      Optional<Workspace> workspace,
      Optional<ResumedStream> resumed) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.exchange = exchange;
    this.response = new CallerResponse(exchange, dispatcher.headerCodec());
    this.route = route;
    this.workspace = workspace;
    this.requestId = dispatcher.headerCodec().requestId(request.headers());
    Fingerprint fingerprint =
        Fingerprint.ofCall(
            request.target(),
            workspace.map(Workspace::name).orElse(""),
            request.body().nioBuffers());
    this.prompt = dispatcher.headerCodec().prompt(request.headers());
    this.suspects = RequestSuspects.of(fingerprint, prompt);
    this.origin = resumed.map(ResumedStream::origin);
    this.streamId = resumed.map(ResumedStream::id).orElse(requestId);
    this.service =
        origin.map(StreamOrigin::service).orElseGet(() -> route.pickService(dispatcher.random()));
    this.deadline = request.receivedAtMillis() + dispatcher.longestMillis(request, route);
    this.log =
        new RequestLog(dispatcher, requestId, fingerprint, route, request.receivedAtMillis());
    this.retry = new RetryReservation(dispatcher.retryBudgets(), service, dispatcher::nowMillis);
    PlacedRequest placed =
        new PlacedRequest(fingerprint, route, workspace, prompt, request.body().readableBytes());
    this.placer = new RequestPlacer(dispatcher, placed, suspects, service, log);
  }

  void start() {
    exchange.onDisconnect(this::callerDisconnected);
    dispatcher.executionStarted(this);
    dispatcher.retryBudgets().recordRequest(service, dispatcher.nowMillis());
    long left = Math.max(0, timeLeftMillis());
    timeout = dispatcher.loop().schedule(this::timedOut, left, TimeUnit.MILLISECONDS);
    place();
  }

  private void placeAgain() {
    if (!ended) {
      place();
    }
  }

  private void place() {
    boolean hasBegun = sentAttempts > 0 || origin.isPresent();
    PlacementResult result =
        placer.place(
            this,
            new PlacementState(
                origin, hasBegun, timeLeftMillis(), () -> sentAttempts == 0 || retry.acquire()));
    if (result.refusal().isPresent()) {
      endWithError(result.refusal().get());
    } else if (result.choice().isPresent()) {
      attempt = new Attempt(this, dispatcher, result.choice().get(), result.onTrial());
      attempt.start();
    } else {
      retry.release();
      var unused =
          dispatcher.loop().schedule(this::placeAgain, TRIAL_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns a copy of the request for an upstream; the copy retains the body. */
  FullHttpRequest upstreamRequest(UpstreamChoice choice) {
    UpstreamCall call =
        new UpstreamCall(
            choice.upstream().report().id(),
            Math.max(1, timeLeftMillis()),
            workspace.map(Workspace::name),
            OptionalInt.empty(),
            response.lastEventId(),
            choice.fetchAddress());
    return UpstreamRequests.of(request, call, dispatcher.headerCodec());
  }

  RequestSuspects suspects() {
    return suspects;
  }

  String requestId() {
    return requestId;
  }

  Optional<Prompt> prompt() {
    return prompt;
  }

  boolean isStream() {
    return route.kind() == RequestKind.STREAM;
  }

  boolean isRepeatable() {
    return route.isRepeatable();
  }

  boolean hasBegun() {
    return response.hasBegun();
  }

  /** Returns where in the stream a response must go on. */
  ResumePosition resumePosition() {
    return new ResumePosition(response.lastEventId());
  }

  /** Returns whether the caller gets a head, or has one like it. */
  boolean isContinuedBy(ResponseHead head) {
    return response.isContinuedBy(head.status(), head.headers());
  }

  /** Forwards a complete response of an upstream and ends the request; takes over the body. */
  void forwardResponse(int status, HttpHeaders headers, ByteBuf body) {
    log.responseBegun();
    finishAnswered(status);
    response.respond(status, headers, body);
  }

  /** Forwards the head of a response unless this or an earlier attempt has already done so. */
  void beginResponse(UpstreamHandle upstream, int status, HttpHeaders headers) {
    if (!response.hasBegun()) {
      if (isStream()) {
        recordOrigin(upstream);
      }
      log.responseBegun();
      response.begin(status, headers, () -> attempt.setReading(true));
    }
  }

  private void recordOrigin(UpstreamHandle upstream) {
    origin = Optional.of(StreamOrigin.of(upstream.report()));
    if (route.isResumable() && !streamId.isEmpty()) {
      dispatcher.originChecks().recordBegun(streamId, upstream);
    }
  }

  /**
   * Forwards a piece of a response body, and stops reading from the upstream while the caller's
   * connection is not writable.
   *
   * @param eventId the id of the last complete event, from which another attempt can resume
   */
  void writeBody(ByteBuf piece, Optional<String> eventId) {
    if (!response.write(piece, eventId)) {
      attempt.setReading(false);
    }
  }

  /** Ends a response whose body was completely forwarded by {@link #writeBody}. */
  void endResponse(int status) {
    finishAnswered(status);
    response.end();
  }

  /**
   * Handles a failed attempt: retries the request on another upstream, forwards the upstream's
   * error response if there is one, or responds with an error of the router.
   */
  void handleFailure(
      UpstreamHandle upstream,
      AttemptFailure failure,
      AttemptEvidence evidence,
      Optional<ErrorResponse> errorResponse) {
    recordFailure(upstream, failure, evidence);
    boolean canResume = !response.hasBegun() || response.lastEventId().isPresent();
    boolean hasOtherCandidate = placer.hasCandidate(origin);
    boolean isRetried =
        canResume
            && hasOtherCandidate
            && RetryPolicy.shouldRetry(
                route, failure, sentAttempts, connectFailures, timeLeftMillis(), retry::acquire);
    if (isRetried) {
      errorResponse.ifPresent(ErrorResponse::release);
      place();
      return;
    }
    if (errorResponse.isPresent()) {
      forwardResponse(
          errorResponse.get().status(), errorResponse.get().headers(), errorResponse.get().body());
      return;
    }
    endWithError(
        hasOtherCandidate
            ? Refusal.notRun(failure.reason())
            : placer.noUpstreamLeft(failure.reason(), origin));
  }

  /** Records that a response to another request arrived while this request awaited its own. */
  void responseSkipped(UpstreamHandle upstream, AttemptEvidence evidence) {
    observe(evidence);
    log.responseSkipped(upstream, evidence);
  }

  /** Records that a response ended with its connection, without a length or chunks. */
  void responseEndedWithConnection(
      UpstreamHandle upstream, SurvivalCheck.Result upstreamState, AttemptEvidence evidence) {
    dispatcher.observer().responseEndedWithConnection(upstreamState.name());
    log.responseEndedWithConnection(upstream, upstreamState, evidence);
  }

  private void observe(AttemptEvidence evidence) {
    dispatcher
        .observer()
        .responseObserved(
            evidence.responseId(), evidence.hasNotRunMarker(), evidence.hasSignature());
  }

  /** Returns whether the request may be sent now that a connection is open. */
  boolean maySend() {
    return sentAttempts == 0 || retry.recordSent();
  }

  private void recordFailure(
      UpstreamHandle upstream, AttemptFailure failure, AttemptEvidence evidence) {
    retry.release();
    if (failure.wasSent()) {
      sentAttempts++;
    } else {
      connectFailures++;
    }
    if (failure.verdict() != Verdict.NOT_RUN) {
      verdict = failure.verdict();
    }
    dispatcher.observer().attemptFailed(failure.verdict().name());
    if (failure.wasSent()) {
      observe(evidence);
    }
    log.attemptFailed(upstream, failure, evidence, sentAttempts, timeLeftMillis());
  }

  /**
   * Ends the request without a response of an upstream. A response that was already begun is
   * aborted.
   *
   * @param ifNotRun the response unless the request may have run
   */
  private void endWithError(Refusal ifNotRun) {
    if (ended) {
      return;
    }
    if (response.hasBegun()) {
      finish(0, ifNotRun.reason());
      response.abort();
      return;
    }
    Refusal refusal = atMost(ifNotRun);
    finish(refusal.status(), refusal.reason());
    dispatcher.respond(requestId, exchange, refusal);
  }

  /**
   * Returns a refusal that promises no more than what is known. After a refusal at the end of the
   * time limit the caller cannot send the request again, and an engine that preempted the request
   * may refuse it although it had begun.
   */
  private Refusal atMost(Refusal ifNotRun) {
    if (verdict != Verdict.NOT_RUN) {
      return Refusal.mayHaveRun(ifNotRun.reason());
    }
    boolean canPromise = sentAttempts == 0 || RetryPolicy.hasTimeForRetry(timeLeftMillis());
    return canPromise ? ifNotRun : Refusal.timedOut();
  }

  private void timedOut() {
    endUnanswered(
        "timeout",
        Attempt::cancelAtTimeLimit,
        Refusal.timedOut(),
        Refusal.notRun("timeout before it was sent"));
  }

  /** Ends the request because the instance stops before a response is complete. */
  void endForStop() {
    endUnanswered(
        STOPPED, Attempt::cancel, Refusal.mayHaveRun(STOPPED), Refusal.instanceStopping());
  }

  private void endUnanswered(
      String reason, Consumer<Attempt> cancellation, Refusal ifSent, Refusal ifNotSent) {
    if (ended) {
      return;
    }
    boolean wasSent = sentAttempts > 0 || (attempt != null && attempt.wasSent());
    if (attempt != null) {
      cancellation.accept(attempt);
    }
    if (response.hasBegun()) {
      finish(0, reason);
      response.abort();
      return;
    }
    Refusal refusal = wasSent ? ifSent : ifNotSent;
    finish(refusal.status(), refusal.reason());
    dispatcher.respond(requestId, exchange, refusal);
  }

  private void callerDisconnected() {
    if (ended) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    finish(0, "caller gone");
  }

  private void finishAnswered(int status) {
    if (status / 100 == SUCCESS_CLASS) {
      placer.recordAnswered();
    }
    finish(status, "answered");
  }

  private void finish(int status, String reason) {
    ended = true;
    dispatcher.executionEnded(this);
    timeout.cancel(false);
    retry.release();
    dispatcher.crashGuard().abandon(suspects, this);
    request.body().release();
    long millis = dispatcher.nowMillis() - request.receivedAtMillis();
    dispatcher.observer().requestEnded(status, millis);
    log.ended(status, reason, sentAttempts, millis);
  }

  long timeLeftMillis() {
    return deadline - dispatcher.nowMillis();
  }
}
