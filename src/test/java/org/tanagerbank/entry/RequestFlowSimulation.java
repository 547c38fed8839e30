package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.ledger.AdmissionCheck;
import org.tanagerbank.ledger.LedgerLimits;
import org.tanagerbank.ledger.QueryOutcome;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.ledger.SubmitDecision;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.routing.RetryBudget;

/**
 * Simulates one request flow with the real ledgers of a few sidecars, over links that break at any
 * time, with delayed frames, crashing engines and restarting sidecars.
 */
final class RequestFlowSimulation {
  private static final RequestId ID = new RequestId("entry", 1, 1);
  private static final int SIDECARS = 3;

  /**
   * One execution of the request. Executions have different answers; those of a deterministic
   * request differ in length and in their last bytes only.
   */
  final class Run {
    final byte[] answer = new byte[random.nextInt(600)];
    int produced;
    boolean ended;

    Run() {
      if (request.deterministic()) {
        new Random(7).nextBytes(answer);
        for (int i = Math.max(0, answer.length - random.nextInt(40)); i < answer.length; i++) {
          answer[i] = (byte) random.nextInt();
        }
      } else {
        random.nextBytes(answer);
      }
    }
  }

  private static final class AnswerTransfer {
    final int attempt;
    final Run run;
    final int linkEpoch;
    long position;
    long credit;

    AnswerTransfer(FlowAction.Submit submit, Run run, int linkEpoch) {
      this.attempt = submit.attempt();
      this.run = run;
      this.linkEpoch = linkEpoch;
      this.position = submit.resumePosition();
      this.credit = submit.creditBytes();
    }
  }

  private final class Sidecar {
    final String id;
    long incarnation = 1;
    RequestLedger<Run> ledger = new RequestLedger<>(1, LedgerLimits.DEFAULT);
    Run run;
    AnswerTransfer transfer;
    int linkEpoch;
    int stepOnLink = -1;
    final Deque<Runnable> framesToSidecar = new ArrayDeque<>();
    final Deque<FlowEvent> eventsToEntry = new ArrayDeque<>();

    Sidecar(String id) {
      this.id = id;
    }

    void submit(FlowAction.Submit s, long expected, int epoch) {
      Submission submission =
          new Submission(ID, s.attempt(), expected, request.nonIdempotent(), Optional.empty());
      SubmitDecision<Run> decision = ledger.submit(submission, () -> decideAdmission(s), now);
      if (decision instanceof SubmitDecision.Run<Run> started) {
        runs.add(started.run());
        run = started.run();
        attach(s, run, epoch);
      } else if (decision instanceof SubmitDecision.Attach<Run> known) {
        attach(s, known.run(), epoch);
      } else if (decision instanceof SubmitDecision.Refuse<Run> r) {
        send(epoch, new FlowEvent.Refused(s.attempt(), r.code(), "", 0, 1, r.detail()));
      } else if (decision instanceof SubmitDecision.Fail<Run> f) {
        send(epoch, new FlowEvent.Failed(id, s.attempt(), f.verdict(), f.code(), "", 0));
      }
    }

    private AdmissionCheck.Result<Run> decideAdmission(FlowAction.Submit s) {
      int roll = random.nextInt(6);
      if (roll == 0) {
        return AdmissionCheck.Result.refuse(ErrorCode.OVERLOADED, 0);
      }
      return roll == 1 && !s.ignoreHint()
          ? AdmissionCheck.Result.moved(random.nextBoolean() ? "" : sidecars.get(0).id)
          : AdmissionCheck.Result.admit(new Run());
    }

    private void attach(FlowAction.Submit s, Run to, int epoch) {
      transfer = new AnswerTransfer(s, to, epoch);
      send(epoch, new FlowEvent.Accepted(s.attempt(), 1));
    }

    void query(long expected, int epoch) {
      QueryOutcome<Run> outcome = ledger.query(ID, expected, now);
      if (outcome instanceof QueryOutcome.Sealed) {
        send(epoch, new FlowEvent.Outcome(id, FlowEvent.Outcome.State.SEALED));
      } else if (outcome instanceof QueryOutcome.OtherIncarnation) {
        send(epoch, new FlowEvent.Outcome(id, FlowEvent.Outcome.State.OTHER_INCARNATION));
      } else {
        send(epoch, new FlowEvent.Outcome(id, FlowEvent.Outcome.State.ATTACHABLE));
      }
    }

    private void send(int epoch, FlowEvent event) {
      if (epoch == linkEpoch) {
        eventsToEntry.add(event);
      }
    }

    void advance() {
      if (run == null || run.ended) {
        deliver();
      } else if (random.nextInt(25) == 0) {
        run.ended = true;
        ledger.fail(ID, ErrorCode.ENGINE_CRASHED, Verdict.MAY_HAVE_RUN, now);
        if (transfer != null) {
          send(
              transfer.linkEpoch,
              new FlowEvent.Failed(
                  id, transfer.attempt, Verdict.MAY_HAVE_RUN, ErrorCode.ENGINE_CRASHED, "", 0));
          transfer = null;
        }
      } else {
        run.produced = Math.min(run.answer.length, run.produced + random.nextInt(80));
        if (run.produced == run.answer.length) {
          run.ended = true;
          ledger.finish(ID, now);
        }
        deliver();
      }
    }

    private void deliver() {
      AnswerTransfer d = transfer;
      if (d == null) {
        return;
      }
      int size = (int) Math.min(d.credit, d.run.produced - d.position);
      if (size > 0) {
        ByteString data = ByteString.copyFrom(d.run.answer, (int) d.position, size);
        send(
            d.linkEpoch, new FlowEvent.AnswerChunk(d.attempt, d.position, data, 200, "text/plain"));
        d.position += size;
        d.credit -= size;
      }
      if (d.run.ended && d.position == d.run.answer.length) {
        send(d.linkEpoch, new FlowEvent.AnswerEnded(d.attempt, d.position, 200, "text/plain", 0));
        transfer = null;
      }
    }

    void breakLink() {
      linkEpoch++;
      eventsToEntry.clear();
      // Frames already sent to the sidecar may still arrive, soon, at the end, or never.
      delayedFrames.addAll(framesToSidecar);
      framesToSidecar.clear();
      int step = stepOnLink;
      stepOnLink = -1;
      handleEvent(new FlowEvent.LinkLost(step));
    }

    void restart() {
      incarnation++;
      ledger = new RequestLedger<>(incarnation, LedgerLimits.DEFAULT);
      run = null;
      transfer = null;
      breakLink();
    }
  }

  final FlowRequest request;
  final List<Run> runs = new ArrayList<>();
  ByteString delivered = ByteString.EMPTY;
  Optional<TanagerException> error = Optional.empty();
  boolean whole;
  int responses;
  final FirstUpstreamRouter router;
  private final Random random;
  private final RequestFlow flow;
  private final List<Sidecar> sidecars = new ArrayList<>();
  private final List<Runnable> delayedFrames = new ArrayList<>();
  private long unconsumedBytes;
  private long now = 1_000_000;
  private int timerStep = -1;

  RequestFlowSimulation(long seed) {
    random = new Random(seed);
    request =
        new FlowRequest(
            "w",
            new ChatKey(random.nextLong()),
            true,
            random.nextBoolean(),
            random.nextBoolean(),
            random.nextInt(4) == 0,
            true,
            new FlowRequest.KeyBinding.None());
    Zone zone = new Zone("z", "r");
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
    ImmutableList.Builder<Upstream> all = ImmutableList.builder();
    for (int i = 0; i < SIDECARS; i++) {
      sidecars.add(new Sidecar("up-" + i));
      all.add(new Upstream("up-" + i, 1, "s", zone, address, 1));
    }
    router = new FirstUpstreamRouter(all.build());
    flow = new RequestFlow(request, router, new RetryBudget(), new SplittableRandom(seed));
  }

  /** Runs the request to its end, and then delivers all frames that are still on their way. */
  void run() {
    handleEvent(new FlowEvent.Start());
    for (int i = 0; i < 20_000 && !flow.isDone(); i++) {
      now += random.nextInt(20);
      performRandomStep();
    }
    for (int i = 0; i < 100; i++) {
      sidecars.forEach(Sidecar::advance);
    }
    sidecars.forEach(s -> s.framesToSidecar.forEach(Runnable::run));
    delayedFrames.forEach(Runnable::run);
  }

  /** Returns how the request ended, for the statistics over all trials. */
  String ending() {
    String code = error.map(e -> e.verdict() + " " + e.code()).orElse(whole ? "whole" : "gone");
    return runs.size() + " runs, " + code;
  }

  boolean isDone() {
    return flow.isDone();
  }

  private void performRandomStep() {
    Sidecar sidecar = sidecars.get(random.nextInt(SIDECARS));
    int roll = random.nextInt(100);
    if (roll < 30 && !sidecar.framesToSidecar.isEmpty()) {
      sidecar.framesToSidecar.pollFirst().run();
    } else if (roll < 60 && !sidecar.eventsToEntry.isEmpty()) {
      handleEvent(sidecar.eventsToEntry.pollFirst());
    } else if (roll < 85) {
      sidecar.advance();
    } else if (roll < 90) {
      long consumed = unconsumedBytes;
      unconsumedBytes = 0;
      handleEvent(new FlowEvent.BytesConsumed(consumed));
    } else if (roll < 92) {
      sidecar.breakLink();
    } else if (roll == 92 && random.nextInt(10) == 0) {
      sidecar.restart();
    } else if (roll == 93 && !delayedFrames.isEmpty()) {
      delayedFrames.remove(random.nextInt(delayedFrames.size())).run();
    } else if (roll == 94 && random.nextInt(10) == 0) {
      handleEvent(new FlowEvent.CallerDisconnected());
    } else if (roll == 95 && timerStep >= 0 && random.nextInt(10) == 0) {
      handleEvent(new FlowEvent.TimedOut(timerStep));
    }
  }

  private void handleEvent(FlowEvent event) {
    flow.handle(event, now).forEach(this::perform);
  }

  private void perform(FlowAction action) {
    if (action instanceof FlowAction.Submit s) {
      submit(s, sidecarOf(s.upstream()));
    } else if (action instanceof FlowAction.Query q) {
      timerStep = q.step();
      Sidecar to = sidecarOf(q.upstream());
      if (random.nextInt(20) == 0) {
        handleEvent(new FlowEvent.Unreachable(q.step()));
        return;
      }
      int epoch = to.linkEpoch;
      to.stepOnLink = q.step();
      to.framesToSidecar.add(() -> to.query(q.incarnation(), epoch));
    } else if (action instanceof FlowAction.Pause p) {
      timerStep = p.step();
    } else if (action instanceof FlowAction.Credit c) {
      Sidecar to = sidecarOf(c.upstream());
      if (to.transfer != null && to.transfer.attempt == c.attempt()) {
        to.transfer.credit += c.bytes();
      }
    } else if (action instanceof FlowAction.WriteBody d) {
      delivered = delivered.concat(d.data());
      unconsumedBytes += d.data().size();
    } else if (action instanceof FlowAction.Finish) {
      whole = true;
      responses++;
    } else if (action instanceof FlowAction.SendResponse r) {
      delivered = r.body();
      whole = true;
      responses++;
    } else if (action instanceof FlowAction.Fail f) {
      error = Optional.of(f.error());
      responses++;
    }
  }

  private void submit(FlowAction.Submit s, Sidecar to) {
    if (random.nextInt(15) == 0) {
      handleEvent(new FlowEvent.Unreachable(s.step()));
    } else if (s.incarnation() != 0 && s.incarnation() != to.incarnation) {
      handleEvent(new FlowEvent.WrongIncarnation(s.step()));
    } else {
      long expected = to.incarnation;
      int epoch = to.linkEpoch;
      to.stepOnLink = s.step();
      handleEvent(new FlowEvent.Submitted(s.step(), expected));
      to.framesToSidecar.add(() -> to.submit(s, expected, epoch));
    }
  }

  private Sidecar sidecarOf(Upstream upstream) {
    return sidecars.stream().filter(s -> s.id.equals(upstream.id())).findFirst().orElseThrow();
  }
}
