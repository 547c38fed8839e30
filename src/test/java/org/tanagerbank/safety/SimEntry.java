package org.tanagerbank.safety;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.tanagerbank.entry.ClaimIndex.Binding;
import org.tanagerbank.entry.ClaimIndex.Claim;
import org.tanagerbank.entry.FlowAction;
import org.tanagerbank.entry.FlowEvent;
import org.tanagerbank.entry.FlowRequest;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.entry.RequestFlow;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.routing.RetryBudget;

/**
 * A simulated entry: runs the production request flow and exchanges simulated messages with the
 * sidecars and the log. Not thread-safe.
 */
final class SimEntry {
  /** A request in progress with the state of its flow. */
  private static final class PendingRequest {
    private final SimulatedRequest callerRequest;
    private final RequestFlow flow;
    private final Queue<FlowEvent> queuedEvents = new ArrayDeque<>();
    private boolean handlingEvent;
    private int step;
    private int sidecarIndex = -1;
    private int attempt;
    private long position;
    private long timeoutAtMillis = Long.MAX_VALUE;

    PendingRequest(SimulatedRequest callerRequest, RequestFlow flow) {
      this.callerRequest = callerRequest;
      this.flow = flow;
    }
  }

  private final FleetSimulation fleet;
  private final int index;
  private final Map<RequestId, PendingRequest> pendingRequests = new LinkedHashMap<>();
  private SimClaimLog.EntryClient claimClient;
  private RetryBudget retryBudget = new RetryBudget();
  private long incarnation = 1;
  private long lastSequence;
  boolean frozen;

  SimEntry(FleetSimulation fleet, int index) {
    this.fleet = fleet;
    this.index = index;
    this.claimClient = fleet.log.new EntryClient();
  }

  String id() {
    return "e" + index;
  }

  /** Starts the next incarnation; the connections of the previous one's callers break. */
  void restart() {
    incarnation++;
    lastSequence = 0;
    pendingRequests.clear();
    retryBudget = new RetryBudget();
    claimClient = fleet.log.new EntryClient();
    frozen = false;
  }

  /** Starts the flow of a new request and returns the request. */
  SimulatedRequest send(SimulatedRequest.RequestSpec spec) {
    lastSequence++;
    SimulatedRequest callerRequest =
        new SimulatedRequest(new RequestId(id(), incarnation, lastSequence), spec);
    FlowRequest request =
        new FlowRequest(
            "w",
            new ChatKey(spec.body()),
            false,
            spec.streamed(),
            spec.nonIdempotent(),
            false,
            false,
            keyBinding(spec));
    retryBudget.recordRequest(fleet.nowMillis);
    RequestFlow flow = new RequestFlow(request, fleet.router(), retryBudget, fleet.random);
    PendingRequest pending = new PendingRequest(callerRequest, flow);
    pendingRequests.put(callerRequest.id, pending);
    handle(pending, new FlowEvent.Start());
    return callerRequest;
  }

  /** Handles a frame or a claim result for a request; ignores it if the request has ended. */
  void receive(RequestId id, FlowEvent event) {
    PendingRequest pending = pendingRequests.get(id);
    if (pending != null) {
      handle(
          pending,
          fleet.isDisabled(Rule.DROP_OTHER_ATTEMPTS)
              ? withCurrentAttempt(event, pending.attempt)
              : event);
    }
  }

  /** Breaks the link to a sidecar for all requests that wait for this sidecar. */
  void breakLink(int sidecar) {
    List.copyOf(pendingRequests.values()).stream()
        .filter(pending -> pending.sidecarIndex == sidecar)
        .forEach(pending -> handle(pending, new FlowEvent.LinkLost(pending.step)));
  }

  /** Closes the connection of the caller of a request, if the request is in progress. */
  void disconnectCaller(RequestId id) {
    PendingRequest pending = pendingRequests.get(id);
    if (pending != null) {
      pending.callerRequest.callerDisconnected = true;
      handle(pending, new FlowEvent.CallerDisconnected());
    }
  }

  /** Signals a timeout to each request whose current step has timed out. */
  void expireTimeouts() {
    for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
      if (pending.timeoutAtMillis <= fleet.nowMillis) {
        pending.timeoutAtMillis = Long.MAX_VALUE;
        handle(pending, new FlowEvent.TimedOut(pending.step));
      }
    }
  }

  boolean isIdle() {
    return pendingRequests.isEmpty();
  }

  private KeyBinding keyBinding(SimulatedRequest.RequestSpec spec) {
    return switch (spec.keyKind()) {
      case NONE -> new KeyBinding.None();
      case CALLER_MADE -> new KeyBinding.CallerGenerated();
      case ISSUED ->
          new KeyBinding.Issued(
              Optional.of(fleet.upstream(spec.boundSidecar())), spec.boundIncarnation());
    };
  }

  private void handle(PendingRequest pending, FlowEvent event) {
    pending.queuedEvents.add(event);
    if (pending.handlingEvent) {
      return;
    }
    pending.handlingEvent = true;
    for (FlowEvent next = pending.queuedEvents.poll();
        next != null;
        next = pending.queuedEvents.poll()) {
      FlowEvent tracked = trackPosition(pending, next);
      pending.flow.handle(tracked, fleet.nowMillis).forEach(action -> perform(pending, action));
    }
    pending.handlingEvent = false;
    if (pending.flow.isDone()) {
      pendingRequests.remove(pending.callerRequest.id);
    }
  }

  /**
   * Tracks the position up to which the answer was received.
   *
   * <p>When the check of the end mark is disabled, replaces the length in the mark by this
   * position, so that a truncated answer passes.
   */
  private FlowEvent trackPosition(PendingRequest pending, FlowEvent event) {
    if (event instanceof FlowEvent.AnswerChunk p && p.attempt() == pending.attempt) {
      boolean isContiguous = p.position() <= pending.position;
      pending.position =
          isContiguous
              ? Math.max(pending.position, p.position() + p.data().size())
              : pending.position;
    } else if (event instanceof FlowEvent.AnswerEnded e
        && fleet.isDisabled(Rule.CHECK_END_MARK_LENGTH)) {
      return new FlowEvent.AnswerEnded(e.attempt(), pending.position, e.httpStatus(), "", 0);
    }
    return event;
  }

  private void perform(PendingRequest pending, FlowAction action) {
    if (action instanceof FlowAction.Submit s) {
      submit(pending, s);
    } else if (action instanceof FlowAction.Query q) {
      pending.step = q.step();
      pending.sidecarIndex = FleetSimulation.indexOf(q.upstream().id());
      pending.timeoutAtMillis = fleet.nowMillis + q.timeoutMillis();
      fleet.sendToSidecar(
          pending.sidecarIndex, s -> s.query(pending.callerRequest.id, q.incarnation()));
    } else if (action instanceof FlowAction.Pause p) {
      pending.step = p.step();
      pending.timeoutAtMillis = fleet.nowMillis + p.millis();
    } else if (action instanceof FlowAction.Claim c) {
      claim(pending, c);
    } else if (action instanceof FlowAction.Cancel c) {
      fleet.sendToSidecar(
          FleetSimulation.indexOf(c.upstream().id()),
          s -> s.cancel(pending.callerRequest.id, c.attempt()));
    } else if (action instanceof FlowAction.WriteBody d) {
      pending.callerRequest.receivedBody = pending.callerRequest.receivedBody.concat(d.data());
      handle(pending, new FlowEvent.BytesConsumed(d.data().size()));
    } else if (action instanceof FlowAction.SendResponse r) {
      pending.callerRequest.receivedBody = r.body();
      pending.callerRequest.succeeded = true;
    } else if (action instanceof FlowAction.Finish) {
      pending.callerRequest.succeeded = true;
    } else if (action instanceof FlowAction.Fail f) {
      pending.callerRequest.error = f.error();
    }
  }

  private void submit(PendingRequest pending, FlowAction.Submit s) {
    pending.step = s.step();
    pending.sidecarIndex = FleetSimulation.indexOf(s.upstream().id());
    pending.attempt = s.attempt();
    pending.position = s.resumePosition();
    pending.timeoutAtMillis = Long.MAX_VALUE;
    long targetIncarnation = fleet.helloIncarnation(pending.sidecarIndex, s.incarnation());
    if (s.incarnation() != 0 && s.incarnation() != targetIncarnation) {
      handle(pending, new FlowEvent.WrongIncarnation(s.step()));
      return;
    }
    handle(pending, new FlowEvent.Submitted(s.step(), targetIncarnation));
    SimSidecar.SubmitMessage message =
        new SimSidecar.SubmitMessage(
            pending.callerRequest.id,
            pending.callerRequest.spec,
            s.attempt(),
            targetIncarnation,
            s.resumePosition(),
            s.ignoreHint());
    fleet.sendToSidecar(pending.sidecarIndex, to -> to.submit(message));
  }

  private void claim(PendingRequest pending, FlowAction.Claim c) {
    pending.step = c.step();
    pending.sidecarIndex = -1;
    Claim ownClaim =
        new Claim(
            pending.callerRequest.id.toString(),
            pending.callerRequest.spec.key(),
            c.upstream().id(),
            c.upstream().incarnation(),
            c.supersedes());
    Optional<Binding> binding = claimClient.claim(ownClaim);
    if (binding.isEmpty()) {
      TanagerException error = TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, "", 1_000);
      fleet.sendClaimResult(pending.callerRequest.id, new FlowEvent.ClaimFailed(c.step(), error));
      return;
    }
    boolean ignoresOrder = fleet.isDisabled(Rule.FIRST_CLAIM_BINDS);
    String upstreamId = ignoresOrder ? ownClaim.upstreamId() : binding.get().upstreamId();
    long targetIncarnation = ignoresOrder ? ownClaim.incarnation() : binding.get().incarnation();
    fleet.sendClaimResult(
        pending.callerRequest.id,
        new FlowEvent.Claimed(
            c.step(),
            Optional.of(fleet.upstream(FleetSimulation.indexOf(upstreamId))),
            targetIncarnation,
            binding.get().offset()));
  }

  /** Returns the event as if it belonged to this attempt. */
  private static FlowEvent withCurrentAttempt(FlowEvent event, int attempt) {
    if (event instanceof FlowEvent.AnswerChunk p) {
      return new FlowEvent.AnswerChunk(attempt, p.position(), p.data(), p.httpStatus(), "");
    } else if (event instanceof FlowEvent.AnswerEnded e) {
      return new FlowEvent.AnswerEnded(attempt, e.totalBytes(), e.httpStatus(), "", 0);
    } else if (event instanceof FlowEvent.Refused r) {
      return new FlowEvent.Refused(attempt, r.code(), "", 0, 0, r.movedTo());
    } else if (event instanceof FlowEvent.Failed f) {
      return new FlowEvent.Failed(f.upstreamId(), attempt, f.verdict(), f.code(), "", 0);
    }
    return event;
  }
}
