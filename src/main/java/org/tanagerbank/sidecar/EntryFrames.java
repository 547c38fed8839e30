package org.tanagerbank.sidecar;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.ledger.QueryOutcome;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.ledger.Submission;
import org.tanagerbank.ledger.SubmitDecision;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.proto.LinkProto.Cancel;
import org.tanagerbank.proto.LinkProto.Credit;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Outcome;
import org.tanagerbank.proto.LinkProto.Query;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;

/**
 * Serves the frames about requests that entries send.
 *
 * <p>A frame that makes no sense is answered with a typed error, or logged and dropped when it
 * names no request; the link stays up. Thread-safe.
 */
final class EntryFrames implements LinkHandler {
  private final RequestLedger<ServedRequest> ledger;
  private final AdmissionGate gate;
  private final Runs runs;
  private final UpstreamCalls upstream;
  private final ControlFrames control;
  private final SidecarMetrics metrics;
  private final LongSupplier clock;
  private final Executor resumer;
  private final Map<Link, LinkSession> sessions = new ConcurrentHashMap<>();

  EntryFrames(
      RequestLedger<ServedRequest> ledger,
      AdmissionGate gate,
      Runs runs,
      UpstreamCalls upstream,
      ControlFrames control,
      SidecarMetrics metrics,
      LongSupplier clock,
      Executor resumer) {
    this.ledger = ledger;
    this.gate = gate;
    this.runs = runs;
    this.upstream = upstream;
    this.control = control;
    this.metrics = metrics;
    this.clock = clock;
    this.resumer = resumer;
  }

  @Override
  public void opened(Link link) {
    sessions.put(link, new LinkSession(link));
    control.opened(link);
  }

  @Override
  public void received(Link link, Frame frame) {
    LinkSession session = sessions.get(link);
    switch (frame.getBodyCase()) {
      case SUBMIT -> submit(session, frame.getSubmit());
      case QUERY -> query(session, frame.getQuery());
      case CANCEL -> cancel(session, frame.getCancel());
      case CREDIT -> credit(session, frame.getCredit());
      default -> control.received(link, frame);
    }
  }

  @Override
  public void closed(Link link, String reason) {
    LinkSession session = sessions.remove(link);
    if (session != null) {
      session.closed();
    }
  }

  @Override
  public void writable(Link link) {
    LinkSession session = sessions.get(link);
    if (session != null) {
      // This call can come from within a send, under the monitor of another run.
      resumer.execute(session::resume);
    }
  }

  /** Sends a frame on every open link. */
  void broadcast(Frame frame) {
    sessions.keySet().forEach(link -> link.send(frame));
  }

  /** Returns whether an answer is still being delivered. */
  boolean isDelivering() {
    Collection<LinkSession> open = sessions.values();
    return open.stream().anyMatch(LinkSession::isDelivering);
  }

  private void submit(LinkSession session, Submit s) {
    if (!Submissions.isValid(s.getRequest())) {
      ControlFrames.reject(session.link(), "Submit without a request id");
      return;
    }
    Optional<String> fault = Submissions.faultOf(s);
    if (fault.isPresent()) {
      ControlFrames.reject(session.link(), fault.get());
      answer(session, s, refuse(s, ErrorCode.BAD_REQUEST), fault.get());
      return;
    }
    long now = clock.getAsLong();
    gate.meanReported(s.getMean(), now);
    try {
      Submission submission = Submissions.of(s);
      Supplier<ServedRequest> newRun = () -> newRun(submission, s);
      answer(session, s, ledger.submit(submission, () -> gate.decide(s, newRun, now), now), "");
    } catch (TanagerException e) {
      answer(session, s, refuse(s, e.code()), e.getMessage());
    }
  }

  private SubmitDecision<ServedRequest> refuse(Submit s, ErrorCode code) {
    return ledger.refuse(Frames.idOf(s.getRequest()), code, clock.getAsLong());
  }

  private ServedRequest newRun(Submission submission, Submit s) {
    ServedRequest run =
        new ServedRequest(
            submission.id(),
            s.getWorkspace(),
            new Fingerprint(s.getFingerprint()),
            submission.nonIdempotent(),
            s.getStreamed(),
            runs);
    runs.add(run);
    return run;
  }

  private void answer(
      LinkSession session, Submit s, SubmitDecision<ServedRequest> decision, String detail) {
    if (decision instanceof SubmitDecision.Run<ServedRequest> start) {
      metrics.submitted("run");
      attach(session, s, start.run());
      start.run().started(upstream.send(s, start.run()));
      runs.started();
    } else if (decision instanceof SubmitDecision.Attach<ServedRequest> known) {
      metrics.submitted("attach");
      attach(session, s, known.run());
    } else if (decision instanceof SubmitDecision.Refuse<ServedRequest> refusal) {
      metrics.submitted("refuse");
      session
          .link()
          .send(
              Frames.refused(
                  s.getRequest(),
                  s.getAttempt(),
                  refusal.code(),
                  refusal.detail(),
                  refusal.retryAfterMillis(),
                  gate.inFlight()));
    } else if (decision instanceof SubmitDecision.Fail<ServedRequest> failure) {
      metrics.submitted("fail");
      String message = detail.isEmpty() ? "the ledger answers " + failure.code() : detail;
      fail(session, s, failure.code(), failure.verdict(), message);
    }
  }

  private void attach(LinkSession session, Submit s, ServedRequest run) {
    session.link().send(Frames.accepted(s.getRequest(), s.getAttempt(), gate.inFlight()));
    run.attach(
        new Delivery(
            session, s.getRequest(), s.getAttempt(), s.getResumePosition(), s.getCreditBytes()));
  }

  private void fail(
      LinkSession session, Submit s, ErrorCode code, Verdict verdict, String message) {
    session.link().send(Frames.failed(s.getRequest(), s.getAttempt(), code, verdict, message));
  }

  /**
   * Answers a Query. A request without an answer to give is reported as finished: the entry then
   * asks for the answer and gets the error under its own attempt.
   */
  private void query(LinkSession session, Query q) {
    RequestRef ref = q.getRequest();
    if (!Submissions.isValid(ref)) {
      ControlFrames.reject(session.link(), "Query without a request id");
      return;
    }
    QueryOutcome<ServedRequest> outcome =
        ledger.query(Frames.idOf(ref), q.getIncarnation(), clock.getAsLong());
    Frame frame;
    if (outcome instanceof QueryOutcome.Sealed) {
      frame = Frames.outcome(ref, Outcome.State.SEALED, 0);
    } else if (outcome instanceof QueryOutcome.Running<ServedRequest> running) {
      frame = Frames.outcome(ref, Outcome.State.RUNNING, running.run().availableBytes());
    } else if (outcome instanceof QueryOutcome.Finished<ServedRequest> finished) {
      frame = Frames.outcome(ref, Outcome.State.FINISHED, finished.run().availableBytes());
    } else if (outcome instanceof QueryOutcome.OtherIncarnation) {
      frame = Frames.outcome(ref, Outcome.State.OTHER_INCARNATION, 0);
    } else {
      frame = Frames.outcome(ref, Outcome.State.FINISHED, 0);
    }
    session.link().send(frame);
  }

  /** Cancels a delivery; a request that never arrived is sealed, so that it does not run later. */
  private void cancel(LinkSession session, Cancel c) {
    RequestRef ref = c.getRequest();
    if (!Submissions.isValid(ref)) {
      ControlFrames.reject(session.link(), "Cancel without a request id");
      return;
    }
    ServedRequest delivering = session.find(ref);
    if (delivering != null) {
      delivering.cancel(ref, c.getAttempt());
      return;
    }
    ledger.refuse(Frames.idOf(ref), ErrorCode.CANCELLED, clock.getAsLong());
  }

  private void credit(LinkSession session, Credit c) {
    ServedRequest delivering = session.find(c.getRequest());
    // Credit for an answer that has ended in the meantime is ordinary.
    if (delivering != null) {
      delivering.addCredit(c.getRequest(), c.getAttempt(), c.getBytes());
    }
  }
}
