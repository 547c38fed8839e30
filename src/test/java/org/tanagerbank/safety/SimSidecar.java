package org.tanagerbank.safety;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.entry.FlowEvent;
import org.tanagerbank.ledger.AdmissionCheck;
import org.tanagerbank.ledger.IdempotencyKey;
import org.tanagerbank.ledger.LedgerLimits;
import org.tanagerbank.ledger.QueryOutcome;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.ledger.SubmitDecision;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.QuarantineStatus;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.routing.AdmissionDecision;
import org.tanagerbank.routing.BoundedAdmission;

/**
 * A simulated sidecar with its engine: uses the production ledger, quarantine and admission, and
 * exchanges simulated messages with the entries instead of frames over links. Not thread-safe.
 */
final class SimSidecar {
  /** Small limits, so that records and keys are evicted within a history. */
  private static final LedgerLimits LIMITS = new LedgerLimits(4, 8_000, 30, 86_400_000, 1_000);

  private static final ServiceSpec SPEC =
      new ServiceSpec(
          "s",
          ServiceKind.ENGINE,
          ImmutableList.of(),
          ImmutableList.of(),
          8,
          new ServiceSpec.Weights(1, 1),
          0,
          0,
          3,
          ImmutableMap.of(),
          new ServiceSpec.Objectives(1, 1, 0.5),
          ImmutableList.of(),
          false);

  /** A Submit message in transit to a sidecar. */
  record SubmitMessage(
      RequestId id,
      SimulatedRequest.RequestSpec spec,
      int attempt,
      long incarnation,
      long resumePosition,
      boolean ignoreHint) {}

  /** A request that receives the answer of a run, and the position up to which it was sent. */
  private static final class AttachedRequest {
    private final RequestId id;
    private final int attempt;
    private long position;

    AttachedRequest(RequestId id, int attempt, long position) {
      this.id = id;
      this.attempt = attempt;
      this.position = position;
    }
  }

  /** A run of the engine and the requests that receive its answer. */
  private static final class Run {
    private final Oracle.Execution execution;
    private final RequestId ledgerId;
    private final ByteString answer;
    private final List<AttachedRequest> attachedRequests = new ArrayList<>();
    private int producedBytes;
    private boolean finished;

    Run(Oracle.Execution execution, RequestId ledgerId) {
      this.execution = execution;
      this.ledgerId = ledgerId;
      this.answer = execution.answer();
    }
  }

  private final FleetSimulation fleet;
  private final int index;
  private final List<Run> running = new ArrayList<>();
  private final Set<RequestId> submittedIds = new HashSet<>();
  private RequestLedger<Run> ledger;
  private Quarantine quarantine;
  private BoundedAdmission admission;
  private int crashCount;
  private int aliasCount;
  long incarnation;
  boolean frozen;
  boolean leaving;
  boolean redirectNext;

  SimSidecar(FleetSimulation fleet, int index) {
    this.fleet = fleet;
    this.index = index;
    restart();
  }

  /** Starts the next incarnation, which knows nothing of the previous one. */
  void restart() {
    incarnation++;
    ledger = new RequestLedger<>(incarnation, LIMITS);
    quarantine = new Quarantine();
    admission = new BoundedAdmission(SPEC);
    running.clear();
    submittedIds.clear();
    leaving = false;
    frozen = false;
  }

  /** Decides on a Submit and sends the result to the entry. */
  void submit(SubmitMessage message) {
    boolean isResubmission = !submittedIds.add(message.id());
    SubmitDecision<Run> decision = decide(message, message.id());
    if (fleet.isDisabled(Rule.REMEMBER_EVICTED_IDS) && isForgotten(decision)) {
      decision = decide(message, newAlias(message.id()));
    } else if (fleet.isDisabled(Rule.SEAL_ON_REFUSAL) && isResubmission && isSealed(decision)) {
      decision = decide(message, newAlias(message.id()));
    }
    respond(message, decision);
  }

  /** Sends the state of a request to the entry, for a request sent to the given incarnation. */
  void query(RequestId id, long boundIncarnation) {
    if (fleet.isDisabled(Rule.SEAL_ON_QUERY)
        && boundIncarnation == incarnation
        && !submittedIds.contains(id)) {
      reply(
          id,
          new FlowEvent.Outcome(FleetSimulation.upstreamId(index), FlowEvent.Outcome.State.SEALED));
      return;
    }
    QueryOutcome<Run> outcome = ledger.query(id, boundIncarnation, fleet.nowMillis);
    FlowEvent.Outcome.State state = FlowEvent.Outcome.State.ATTACHABLE;
    if (outcome instanceof QueryOutcome.Sealed || isForgotten(outcome)) {
      state = FlowEvent.Outcome.State.SEALED;
    } else if (outcome instanceof QueryOutcome.OtherIncarnation) {
      state = FlowEvent.Outcome.State.OTHER_INCARNATION;
    }
    reply(id, new FlowEvent.Outcome(FleetSimulation.upstreamId(index), state));
  }

  /**
   * Detaches an attempt from its run, ends the run if no other request is attached and the run may
   * be repeated, and seals the request unless it has a state.
   */
  void cancel(RequestId id, int attempt) {
    for (Run run : List.copyOf(running)) {
      boolean isDetached =
          run.attachedRequests.removeIf(
              attached -> attached.id.equals(id) && attached.attempt == attempt);
      if (isDetached && run.attachedRequests.isEmpty() && !run.execution.spec().nonIdempotent()) {
        end(run, ErrorCode.CANCELLED);
      }
    }
    ledger.refuse(id, ErrorCode.CANCELLED, fleet.nowMillis);
  }

  /** Makes the engine produce up to this many further bytes of each running answer. */
  void produce(int bytes) {
    for (Run run : List.copyOf(running)) {
      run.producedBytes = Math.min(run.answer.size(), run.producedBytes + bytes);
      boolean isComplete = run.producedBytes == run.answer.size();
      if (isComplete) {
        end(run, null);
      }
      sendProducedBytes(run);
    }
  }

  /** Crashes the engine, which fails all running requests and reports them to the quarantine. */
  void crashEngine() {
    ImmutableSet<Fingerprint> fingerprints =
        running.stream()
            .map(r -> fingerprintOf(r.execution.spec()))
            .collect(ImmutableSet.toImmutableSet());
    crashCount++;
    if (!fingerprints.isEmpty()) {
      String crashId = index + "." + incarnation + "." + crashCount;
      quarantine.recordCrash(
          new CrashReport(crashId, fingerprints, fleet.nowMillis), fleet.nowMillis);
    }
    List.copyOf(running).forEach(run -> end(run, ErrorCode.ENGINE_CRASHED));
  }

  /** Evicts the ledger records that exceed the limits. */
  void evictExpired() {
    ledger.evict(fleet.nowMillis);
  }

  private SubmitDecision<Run> decide(SubmitMessage message, RequestId ledgerId) {
    long boundIncarnation =
        fleet.isDisabled(Rule.REJECT_OTHER_INCARNATION) ? incarnation : message.incarnation();
    int attempt =
        fleet.isDisabled(Rule.SEAL_MOVED_ATTEMPT)
            ? message.attempt() + ++aliasCount
            : message.attempt();
    boolean sealsKey =
        message.spec().nonIdempotent() && !fleet.isDisabled(Rule.SEAL_KEY_ON_REFUSAL);
    Submission submission =
        new Submission(
            ledgerId, attempt, boundIncarnation, sealsKey, idempotencyKeyOf(message.spec()));
    return ledger.submit(submission, () -> checkAdmission(message, ledgerId), fleet.nowMillis);
  }

  private AdmissionCheck.Result<Run> checkAdmission(SubmitMessage message, RequestId ledgerId) {
    QuarantineStatus quarantineState =
        quarantine.status(fingerprintOf(message.spec()), fleet.nowMillis);
    if (leaving) {
      return AdmissionCheck.Result.refuse(ErrorCode.LEAVING, 0);
    }
    if (quarantineState == QuarantineStatus.QUARANTINED) {
      return AdmissionCheck.Result.refuse(ErrorCode.QUARANTINED, 0);
    }
    if (quarantineState == QuarantineStatus.SUSPECT && !running.isEmpty()) {
      return AdmissionCheck.Result.refuse(ErrorCode.SUSPECT_WAITING, 0);
    }
    if (redirectNext && !message.ignoreHint()) {
      redirectNext = false;
      return AdmissionCheck.Result.moved(
          FleetSimulation.upstreamId((index + 1) % FleetSimulation.SIDECARS));
    }
    if (admission.admit("w", fleet.nowMillis) instanceof AdmissionDecision.Reject reject) {
      return AdmissionCheck.Result.refuse(reject.code(), 0);
    }
    Run run = new Run(fleet.oracle.recordExecution(message.id(), message.spec()), ledgerId);
    running.add(run);
    return AdmissionCheck.Result.admit(run);
  }

  private void respond(SubmitMessage message, SubmitDecision<Run> decision) {
    if (decision instanceof SubmitDecision.Run<Run> start) {
      attach(message, start.run());
    } else if (decision instanceof SubmitDecision.Attach<Run> existing) {
      attach(message, existing.run());
    } else if (decision instanceof SubmitDecision.Refuse<Run> r) {
      reply(message.id(), new FlowEvent.Refused(message.attempt(), r.code(), "", 0, 0, r.detail()));
    } else if (decision instanceof SubmitDecision.Fail<Run> f) {
      fail(message.id(), message.attempt(), f.code(), f.verdict());
    }
  }

  private void attach(SubmitMessage message, Run run) {
    run.attachedRequests.removeIf(attached -> attached.id.equals(message.id()));
    run.attachedRequests.add(
        new AttachedRequest(message.id(), message.attempt(), message.resumePosition()));
    reply(message.id(), new FlowEvent.Accepted(message.attempt(), 0));
    sendProducedBytes(run);
  }

  private void sendProducedBytes(Run run) {
    for (AttachedRequest attached : List.copyOf(run.attachedRequests)) {
      while (attached.position < run.producedBytes) {
        int endPosition =
            (int) Math.min(run.producedBytes, attached.position + FleetSimulation.CHUNK_BYTES);
        ByteString data = run.answer.substring((int) attached.position, endPosition);
        reply(
            attached.id,
            new FlowEvent.AnswerChunk(attached.attempt, attached.position, data, 200, ""));
        attached.position = endPosition;
      }
      if (run.finished) {
        run.attachedRequests.remove(attached);
        reply(
            attached.id,
            new FlowEvent.AnswerEnded(attached.attempt, run.answer.size(), 200, "", 0));
      }
    }
  }

  private void end(Run run, ErrorCode failure) {
    running.remove(run);
    admission.recordEnded("w", fleet.nowMillis);
    if (failure == null) {
      run.finished = true;
      ledger.finish(run.ledgerId, fleet.nowMillis);
      quarantine.recordCompletion(fingerprintOf(run.execution.spec()), fleet.nowMillis);
      return;
    }
    ledger.fail(run.ledgerId, failure, Verdict.MAY_HAVE_RUN, fleet.nowMillis);
    run.attachedRequests.forEach(
        attached -> fail(attached.id, attached.attempt, failure, Verdict.MAY_HAVE_RUN));
    run.attachedRequests.clear();
  }

  private void fail(RequestId id, int attempt, ErrorCode code, Verdict verdict) {
    reply(
        id, new FlowEvent.Failed(FleetSimulation.upstreamId(index), attempt, verdict, code, "", 0));
  }

  private void reply(RequestId id, FlowEvent event) {
    fleet.sendToEntry(id, event);
  }

  private Optional<IdempotencyKey> idempotencyKeyOf(SimulatedRequest.RequestSpec spec) {
    if (spec.key().isEmpty() || fleet.isDisabled(Rule.RUN_KEY_ONCE)) {
      return Optional.empty();
    }
    Fingerprint content =
        fleet.isDisabled(Rule.CHECK_KEY_CONTENT) ? new Fingerprint(0) : fingerprintOf(spec);
    return Optional.of(
        spec.keyKind() == SimulatedRequest.KeyKind.ISSUED
            ? IdempotencyKey.issuedByEntry(spec.key(), spec.expiresAtMillis(), content)
            : IdempotencyKey.chosenByCaller("w", spec.key(), content));
  }

  /** Returns an id unknown to the ledger, so that a request runs as if a rule did not exist. */
  private RequestId newAlias(RequestId id) {
    aliasCount++;
    return new RequestId(
        id.entryId() + "-alias-" + aliasCount, id.entryIncarnation(), id.sequence());
  }

  private boolean isForgotten(QueryOutcome<Run> outcome) {
    return fleet.isDisabled(Rule.REMEMBER_EVICTED_IDS)
        && outcome instanceof QueryOutcome.Fail<Run> f
        && f.code() == ErrorCode.FORGOTTEN;
  }

  private static boolean isForgotten(SubmitDecision<Run> decision) {
    return decision instanceof SubmitDecision.Fail<Run> f && f.code() == ErrorCode.FORGOTTEN;
  }

  private static boolean isSealed(SubmitDecision<Run> decision) {
    return decision instanceof SubmitDecision.Refuse<Run> r && r.code() == ErrorCode.SEALED;
  }

  private static Fingerprint fingerprintOf(SimulatedRequest.RequestSpec spec) {
    return new Fingerprint(spec.body());
  }
}
