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
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.entry.FlowEvent;
import org.tanagerbank.ledger.Gate;
import org.tanagerbank.ledger.KeyUse;
import org.tanagerbank.ledger.LedgerLimits;
import org.tanagerbank.ledger.QueryOutcome;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.ledger.SubmitDecision;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.Standing;
import org.tanagerbank.routing.AdmissionDecision;
import org.tanagerbank.routing.BoundedAdmission;

/** One sidecar and its engine: the production decisions joined by messages instead of links. */
final class SimSidecar {
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

  /** A Submit as it travels. */
  record SubmitMessage(
      RequestId id, Post.Ask ask, int attempt, long incarnation, long resume, boolean ignoreHint) {}

  private static final class Delivery {
    private final RequestId id;
    private final int attempt;
    private long position;

    Delivery(RequestId id, int attempt, long position) {
      this.id = id;
      this.attempt = attempt;
      this.position = position;
    }
  }

  /** A run and the requests that its answer goes to. */
  private static final class Run {
    private final Oracle.Execution execution;
    private final RequestId ledgerId;
    private final ByteString answer;
    private final List<Delivery> deliveries = new ArrayList<>();
    private int made;
    private boolean ended;

    Run(Oracle.Execution execution, RequestId ledgerId) {
      this.execution = execution;
      this.ledgerId = ledgerId;
      this.answer = execution.answer();
    }
  }

  private final World world;
  private final int slot;
  private final List<Run> running = new ArrayList<>();
  private final Set<RequestId> seen = new HashSet<>();
  private RequestLedger<Run> ledger;
  private Quarantine quarantine;
  private BoundedAdmission admission;
  private int crashes;
  private int aliases;
  long incarnation;
  boolean frozen;
  boolean leaving;
  boolean moveNext;

  SimSidecar(World world, int slot) {
    this.world = world;
    this.slot = slot;
    restart();
  }

  /** Starts the next incarnation, which has lost all state. */
  void restart() {
    incarnation++;
    ledger = new RequestLedger<>(incarnation, LIMITS);
    quarantine = new Quarantine();
    admission = new BoundedAdmission(SPEC);
    running.clear();
    seen.clear();
    leaving = false;
    frozen = false;
  }

  void submit(SubmitMessage m) {
    boolean known = !seen.add(m.id());
    SubmitDecision<Run> decision = decide(m, m.id());
    if (world.lacks(Rule.REMEMBER_EVICTED) && isForgotten(decision)) {
      decision = decide(m, alias(m.id()));
    } else if (world.lacks(Rule.SEAL_ON_REFUSAL) && known && isSealed(decision)) {
      decision = decide(m, alias(m.id()));
    }
    answer(m, decision);
  }

  void query(RequestId id, long boundIncarnation) {
    if (world.lacks(Rule.SEAL_ON_QUERY) && boundIncarnation == incarnation && !seen.contains(id)) {
      reply(id, new FlowEvent.Outcome(World.upstreamId(slot), FlowEvent.Outcome.State.SEALED));
      return;
    }
    QueryOutcome<Run> outcome = ledger.query(id, boundIncarnation, world.now);
    FlowEvent.Outcome.State state = FlowEvent.Outcome.State.ATTACHABLE;
    if (outcome instanceof QueryOutcome.Sealed || isForgotten(outcome)) {
      state = FlowEvent.Outcome.State.SEALED;
    } else if (outcome instanceof QueryOutcome.OtherIncarnation) {
      state = FlowEvent.Outcome.State.OTHER_INCARNATION;
    }
    reply(id, new FlowEvent.Outcome(World.upstreamId(slot), state));
  }

  void cancel(RequestId id, int attempt) {
    for (Run run : List.copyOf(running)) {
      boolean removed = run.deliveries.removeIf(d -> d.id.equals(id) && d.attempt == attempt);
      if (removed && run.deliveries.isEmpty() && !run.execution.ask().nonIdempotent()) {
        end(run, ErrorCode.CANCELLED);
      }
    }
    ledger.refuse(id, ErrorCode.CANCELLED, world.now);
  }

  /** Lets the engine make some bytes of each answer. */
  void step(int bytes) {
    for (Run run : List.copyOf(running)) {
      run.made = Math.min(run.answer.size(), run.made + bytes);
      boolean whole = run.made == run.answer.size();
      if (whole) {
        end(run, null);
      }
      pump(run);
    }
  }

  /** Breaks off all that the engine runs. */
  void crashEngine() {
    ImmutableSet<Fingerprint> prints =
        running.stream().map(r -> print(r.execution.ask())).collect(ImmutableSet.toImmutableSet());
    crashes++;
    if (!prints.isEmpty()) {
      String crashId = slot + "." + incarnation + "." + crashes;
      quarantine.crashed(new CrashReport(crashId, prints, world.now), world.now);
    }
    List.copyOf(running).forEach(run -> end(run, ErrorCode.ENGINE_CRASHED));
  }

  /** Evicts what the limits allow to evict. */
  void tidy() {
    ledger.evict(world.now);
  }

  private SubmitDecision<Run> decide(SubmitMessage m, RequestId as) {
    long bound = world.lacks(Rule.INCARNATION) ? incarnation : m.incarnation();
    int attempt = world.lacks(Rule.MOVED_ATTEMPT) ? m.attempt() + ++aliases : m.attempt();
    boolean sealsKey = m.ask().nonIdempotent() && !world.lacks(Rule.KEY_SEAL);
    Submission submission = new Submission(as, attempt, bound, sealsKey, keyOf(m.ask()));
    return ledger.submit(submission, () -> gate(m, as), world.now);
  }

  private Gate.Pass<Run> gate(SubmitMessage m, RequestId as) {
    Standing standing = quarantine.standing(print(m.ask()), world.now);
    if (leaving) {
      return Gate.Pass.refuse(ErrorCode.LEAVING, 0);
    }
    if (standing == Standing.QUARANTINED) {
      return Gate.Pass.refuse(ErrorCode.QUARANTINED, 0);
    }
    if (standing == Standing.SUSPECT && !running.isEmpty()) {
      return Gate.Pass.refuse(ErrorCode.SUSPECT_WAITING, 0);
    }
    if (moveNext && !m.ignoreHint()) {
      moveNext = false;
      return Gate.Pass.moved(World.upstreamId((slot + 1) % World.SIDECARS));
    }
    if (admission.admit("w", world.now) instanceof AdmissionDecision.Reject reject) {
      return Gate.Pass.refuse(reject.code(), 0);
    }
    Run run = new Run(world.oracle.executed(m.id(), m.ask()), as);
    running.add(run);
    return Gate.Pass.admit(run);
  }

  private void answer(SubmitMessage m, SubmitDecision<Run> decision) {
    if (decision instanceof SubmitDecision.Run<Run> start) {
      attach(m, start.run());
    } else if (decision instanceof SubmitDecision.Attach<Run> known) {
      attach(m, known.run());
    } else if (decision instanceof SubmitDecision.Refuse<Run> r) {
      reply(m.id(), new FlowEvent.Refused(m.attempt(), r.code(), "", 0, 0, r.detail()));
    } else if (decision instanceof SubmitDecision.Fail<Run> f) {
      fail(m.id(), m.attempt(), f.code(), f.verdict());
    }
  }

  private void attach(SubmitMessage m, Run run) {
    run.deliveries.removeIf(d -> d.id.equals(m.id()));
    run.deliveries.add(new Delivery(m.id(), m.attempt(), m.resume()));
    reply(m.id(), new FlowEvent.Accepted(m.attempt(), 0));
    pump(run);
  }

  private void pump(Run run) {
    for (Delivery d : List.copyOf(run.deliveries)) {
      while (d.position < run.made) {
        int end = (int) Math.min(run.made, d.position + World.CHUNK_BYTES);
        ByteString data = run.answer.substring((int) d.position, end);
        reply(d.id, new FlowEvent.Piece(d.attempt, d.position, data, 200, ""));
        d.position = end;
      }
      if (run.ended) {
        run.deliveries.remove(d);
        reply(d.id, new FlowEvent.Ended(d.attempt, run.answer.size(), 200, "", 0));
      }
    }
  }

  private void end(Run run, ErrorCode failure) {
    running.remove(run);
    admission.ended("w", world.now);
    if (failure == null) {
      run.ended = true;
      ledger.finish(run.ledgerId, world.now);
      quarantine.survived(print(run.execution.ask()));
      return;
    }
    ledger.fail(run.ledgerId, failure, Verdict.MAY_HAVE_RUN, world.now);
    run.deliveries.forEach(d -> fail(d.id, d.attempt, failure, Verdict.MAY_HAVE_RUN));
    run.deliveries.clear();
  }

  private void fail(RequestId id, int attempt, ErrorCode code, Verdict verdict) {
    reply(id, new FlowEvent.Failed(World.upstreamId(slot), attempt, verdict, code, "", 0));
  }

  private void reply(RequestId id, FlowEvent event) {
    world.toEntry(id, event);
  }

  private Optional<KeyUse> keyOf(Post.Ask ask) {
    if (ask.key().isEmpty() || world.lacks(Rule.KEY)) {
      return Optional.empty();
    }
    Fingerprint content = world.lacks(Rule.KEY_CONTENT) ? new Fingerprint(0) : print(ask);
    return Optional.of(
        ask.binding() == Post.Binding.ISSUED
            ? KeyUse.issued(ask.key(), ask.expiresAt(), content)
            : KeyUse.made("w", ask.key(), content));
  }

  private RequestId alias(RequestId id) {
    aliases++;
    return new RequestId(id.entryId() + "-alias-" + aliases, id.entryIncarnation(), id.sequence());
  }

  private boolean isForgotten(QueryOutcome<Run> outcome) {
    return world.lacks(Rule.REMEMBER_EVICTED)
        && outcome instanceof QueryOutcome.Fail<Run> f
        && f.code() == ErrorCode.FORGOTTEN;
  }

  private static boolean isForgotten(SubmitDecision<Run> decision) {
    return decision instanceof SubmitDecision.Fail<Run> f && f.code() == ErrorCode.FORGOTTEN;
  }

  private static boolean isSealed(SubmitDecision<Run> decision) {
    return decision instanceof SubmitDecision.Refuse<Run> r && r.code() == ErrorCode.SEALED;
  }

  private static Fingerprint print(Post.Ask ask) {
    return new Fingerprint(ask.body());
  }
}
