package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.direct.UpstreamCall;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.Workspace;

/**
 * The life of one request from its placement to its answer.
 *
 * <p>One {@link Attempt} at a time sends it to an upstream and reports back how that ended. The
 * caller gets one answer, at the latest when the time of the request is over. Confined to the event
 * loop.
 */
final class RequestRun {
  private final Dispatcher dispatcher;
  private final CallerRequest request;
  private final CallerExchange exchange;
  private final Route route;
  private final Optional<Workspace> workspace;
  private final String requestId;
  private final Optional<Prompt> prompt;
  private final String service;
  private final long deadline;
  private final Set<String> tried = new HashSet<>();
  private Verdict verdict = Verdict.NOT_RUN;
  private Attempt attempt;
  private ScheduledFuture<?> timeout;
  private int sent;
  private int connectFailures;
  private boolean begun;
  private boolean ended;
  private Optional<String> lastEventId = Optional.empty();

  RequestRun(
      Dispatcher dispatcher,
      CallerRequest request,
      CallerExchange exchange,
      Route route,
      Optional<Workspace> workspace) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.exchange = exchange;
    this.route = route;
    this.workspace = workspace;
    this.requestId = dispatcher.dialect().requestId(request.headers());
    this.prompt = dispatcher.dialect().prompt(request.headers());
    this.service = route.pickService(dispatcher.random());
    this.deadline = request.arrivedMillis() + dispatcher.longestMillis(request, route);
  }

  void start() {
    exchange.onGone(this::callerGone);
    dispatcher.retryBudget(service).requested(dispatcher.nowMillis());
    long left = Math.max(0, timeLeftMillis());
    timeout = dispatcher.loop().schedule(this::timedOut, left, TimeUnit.MILLISECONDS);
    place();
  }

  private void place() {
    List<UpstreamHandle> candidates = dispatcher.upstreams().candidates(service, tried);
    Optional<Choice> chosen =
        Placement.choose(
            candidates,
            new PlacementRequest(
                prompt,
                route.objectiveMillis(),
                dispatcher.settings().zone(),
                dispatcher.settings().loadMultiple(),
                dispatcher.upstreams().ofService(service),
                dispatcher.nowMillis()));
    if (chosen.isEmpty()) {
      giveUp("no upstream of the service is left");
      return;
    }
    Choice choice = chosen.get();
    tried.add(choice.upstream().upstream().id());
    logPlaced(choice, candidates.size());
    attempt = new Attempt(this, dispatcher, choice);
    attempt.start();
  }

  private void logPlaced(Choice choice, int candidates) {
    UpstreamHandle upstream = choice.upstream();
    EventLog.emit(
        LogEvent.REQUEST_PLACED,
        "request",
        requestId,
        "route",
        route.name(),
        "upstream",
        upstream.upstream().id(),
        "report",
        upstream.upstream().reportNumber(),
        "inFlight",
        upstream.fleetInFlight(dispatcher.nowMillis()),
        "candidates",
        candidates,
        "session",
        prompt.map(p -> Long.toHexString(p.sessionId())).orElse(""),
        "freshTokens",
        upstream.freshTokens(prompt),
        "fetchedTokens",
        choice.fetchedTokens(),
        "fetchedFrom",
        choice.fetch().map(f -> f.source().upstream().id()).orElse(""),
        "firstTokenMillis",
        upstream.firstTokenMillis(prompt, choice.fetchedTokens(), dispatcher.nowMillis()),
        "timeLeftMillis",
        timeLeftMillis());
  }

  /** Returns the request as it is sent to an upstream. */
  FullHttpRequest toUpstream(Choice choice) {
    UpstreamCall call =
        new UpstreamCall(
            choice.upstream().upstream().id(),
            Math.max(1, timeLeftMillis()),
            workspace.map(Workspace::name),
            OptionalInt.empty(),
            lastEventId,
            choice.fetch().map(f -> f.source().upstream().address()));
    HttpHeaders headers = dispatcher.dialect().toUpstream(request.headers(), call);
    if (request.body().isReadable()
        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        request.method(),
        request.target(),
        request.body().retainedDuplicate(),
        headers,
        new DefaultHttpHeaders());
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

  boolean hasBegun() {
    return begun;
  }

  /** Passes on a whole answer of an upstream. */
  void answer(int status, HttpHeaders headers, ByteBuf body) {
    HttpHeaders kept = dispatcher.dialect().toCaller(headers);
    finish(status, "answered");
    exchange.respond(status, kept, body);
  }

  /** Passes on the head of an answer, unless an earlier attempt has begun it. */
  void begin(int status, HttpHeaders headers) {
    if (!begun) {
      begun = true;
      exchange.begin(status, dispatcher.dialect().toCaller(headers));
      exchange.onWritable(() -> attempt.setReading(true));
    }
  }

  /** Passes on a piece of a stream. */
  void write(ByteBuf piece, Optional<String> eventId) {
    if (eventId.isPresent()) {
      lastEventId = eventId;
    }
    exchange.write(piece);
    if (!exchange.isWritable()) {
      attempt.setReading(false);
    }
  }

  /** Ends a stream as whole. */
  void end(int status) {
    finish(status, "answered");
    exchange.end();
  }

  /** Decides what follows an attempt without an answer. */
  void attemptEnded(UpstreamHandle upstream, Outcome outcome, Optional<HeldAnswer> held) {
    note(upstream, outcome);
    boolean again =
        RetryPolicy.retries(
            route,
            outcome,
            sent,
            connectFailures,
            timeLeftMillis(),
            () -> dispatcher.retryBudget(service).tryRetry(dispatcher.nowMillis()));
    boolean resumes = !begun || lastEventId.isPresent();
    boolean hasOther = !dispatcher.upstreams().candidates(service, tried).isEmpty();
    if (again && resumes && hasOther) {
      held.ifPresent(HeldAnswer::release);
      place();
      return;
    }
    if (held.isPresent()) {
      answer(held.get().status(), held.get().headers(), held.get().body());
      return;
    }
    giveUp(outcome.reason());
  }

  private void note(UpstreamHandle upstream, Outcome outcome) {
    if (outcome.wasSent()) {
      sent++;
    } else {
      connectFailures++;
    }
    if (outcome.verdict() != Verdict.NOT_RUN) {
      verdict = outcome.verdict();
    }
    dispatcher.observer().attemptFailed(outcome.verdict().name());
    EventLog.emit(
        LogEvent.REQUEST_ATTEMPT_FAILED,
        "request",
        requestId,
        "upstream",
        upstream.upstream().id(),
        "reason",
        outcome.reason(),
        "verdict",
        outcome.verdict(),
        "sent",
        sent,
        "timeLeftMillis",
        timeLeftMillis());
  }

  /** Ends the request without an upstream's answer. */
  private void giveUp(String reason) {
    if (ended) {
      return;
    }
    if (begun) {
      finish(0, reason);
      exchange.abort();
      return;
    }
    Refusal refusal =
        verdict == Verdict.NOT_RUN ? Refusal.notRun(reason) : Refusal.mayHaveRun(reason);
    finish(refusal.status(), reason);
    dispatcher.respond(requestId, exchange, refusal);
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    boolean mayHaveRun = verdict != Verdict.NOT_RUN || (attempt != null && attempt.wasSent());
    cancelAttempt();
    if (begun) {
      finish(0, "timeout");
      exchange.abort();
      return;
    }
    Refusal refusal =
        mayHaveRun ? Refusal.timedOut() : Refusal.notRun("timeout before it was sent");
    finish(refusal.status(), refusal.reason());
    dispatcher.respond(requestId, exchange, refusal);
  }

  private void callerGone() {
    if (!ended) {
      cancelAttempt();
      finish(0, "caller gone");
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void finish(int status, String reason) {
    ended = true;
    timeout.cancel(false);
    request.body().release();
    dispatcher.observer().ended(status, dispatcher.nowMillis() - request.arrivedMillis());
    EventLog.emit(
        LogEvent.REQUEST_ENDED,
        "request",
        requestId,
        "status",
        status,
        "reason",
        reason,
        "sent",
        sent,
        "millis",
        dispatcher.nowMillis() - request.arrivedMillis());
  }

  long timeLeftMillis() {
    return deadline - dispatcher.nowMillis();
  }
}
