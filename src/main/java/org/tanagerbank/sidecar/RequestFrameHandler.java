package org.tanagerbank.sidecar;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
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
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Handles the frames about single requests that entries send: Submit, Query, Cancel and Credit.
 *
 * <p>All other frames go to the {@link SidecarControlFrameHandler}. An invalid Submit that names a
 * request is refused with an error code; an invalid frame that names no request is logged and
 * dropped. The link stays open in both cases. Thread-safe.
 */
final class RequestFrameHandler implements LinkHandler {
  private final RequestLedger<UpstreamRun> ledger;
  private final AdmissionController admission;
  private final ActiveRuns runs;
  private final UpstreamClient upstream;
  private final SidecarControlFrameHandler controlFrames;
  private final SidecarMetrics metrics;
  private final LongSupplier clock;
  private final Executor resumeExecutor;
  private final Map<Link, LinkSession> sessions = new ConcurrentHashMap<>();

  RequestFrameHandler(
      RequestLedger<UpstreamRun> ledger,
      AdmissionController admission,
      ActiveRuns runs,
      UpstreamClient upstream,
      SidecarControlFrameHandler controlFrames,
      SidecarMetrics metrics,
      LongSupplier clock,
      Executor resumeExecutor) {
    this.ledger = ledger;
    this.admission = admission;
    this.runs = runs;
    this.upstream = upstream;
    this.controlFrames = controlFrames;
    this.metrics = metrics;
    this.clock = clock;
    this.resumeExecutor = resumeExecutor;
  }

  @Override
  public void opened(Link link) {
    sessions.put(link, new LinkSession(link));
    controlFrames.opened(link);
  }

  @Override
  public void received(Link link, Frame frame) {
    LinkSession session = sessions.get(link);
    switch (frame.getBodyCase()) {
      case SUBMIT -> handleSubmit(session, frame.getSubmit());
      case QUERY -> handleQuery(session, frame.getQuery());
      case CANCEL -> handleCancel(session, frame.getCancel());
      case CREDIT -> handleCredit(session, frame.getCredit());
      default -> controlFrames.received(link, frame);
    }
  }

  @Override
  public void closed(Link link, String reason) {
    LinkSession session = sessions.remove(link);
    if (session != null) {
      session.endDeliveries();
    }
  }

  @Override
  public void writable(Link link) {
    LinkSession session = sessions.get(link);
    if (session != null) {
      // This method can be called from within a send, under the monitor of another run. Continuing
      // the deliveries on this thread would lock further runs while that monitor is held.
      resumeExecutor.execute(session::resumeDeliveries);
    }
  }

  /** Sends a frame on each open link, whether an entry or this sidecar opened the link. */
  void broadcast(Frame frame) {
    sessions.keySet().forEach(link -> link.send(frame));
  }

  /** Returns whether an answer is still being delivered over any open link. */
  boolean isDelivering() {
    Collection<LinkSession> open = sessions.values();
    return open.stream().anyMatch(LinkSession::isDelivering);
  }

  private void handleSubmit(LinkSession session, Submit submit) {
    if (!SubmitDecoder.isValid(submit.getRequest())) {
      SidecarControlFrameHandler.logUnexpected(
          session.link(),
          "the request id of a Submit needs an entry id and a positive sequence number");
      return;
    }
    Optional<String> fault = SubmitDecoder.findFault(submit);
    if (fault.isPresent()) {
      SidecarControlFrameHandler.logUnexpected(session.link(), fault.get());
      applyDecision(session, submit, refuse(submit, ErrorCode.BAD_REQUEST), fault.get());
      return;
    }
    long now = clock.getAsLong();
    admission.updateMeanLoad(submit.getMean(), now);
    try {
      Submission submission = SubmitDecoder.of(submit);
      Supplier<UpstreamRun> runFactory = () -> createRun(submission, submit);
      applyDecision(
          session,
          submit,
          ledger.submit(submission, () -> admission.decide(submit, runFactory, now), now),
          "");
    } catch (TanagerException e) {
      applyDecision(session, submit, refuse(submit, e.code()), e.getMessage());
    }
  }

  private SubmitDecision<UpstreamRun> refuse(Submit submit, ErrorCode code) {
    return ledger.refuse(SidecarFrames.idOf(submit.getRequest()), code, clock.getAsLong());
  }

  private UpstreamRun createRun(Submission submission, Submit submit) {
    UpstreamRun run =
        new UpstreamRun(
            submission.id(),
            submit.getWorkspace(),
            new Fingerprint(submit.getFingerprint()),
            submission.nonIdempotent(),
            submit.getStreamed(),
            runs);
    runs.add(run);
    return run;
  }

  private void applyDecision(
      LinkSession session, Submit submit, SubmitDecision<UpstreamRun> decision, String detail) {
    if (decision instanceof SubmitDecision.Run<UpstreamRun> start) {
      metrics.countSubmit("run");
      attachDelivery(session, submit, start.run());
      start.run().setCall(upstream.send(submit, start.run()));
      runs.notifyStarted();
    } else if (decision instanceof SubmitDecision.Attach<UpstreamRun> known) {
      metrics.countSubmit("attach");
      attachDelivery(session, submit, known.run());
    } else if (decision instanceof SubmitDecision.Refuse<UpstreamRun> refusal) {
      metrics.countSubmit("refuse");
      session
          .link()
          .send(
              SidecarFrames.refused(
                  submit.getRequest(),
                  submit.getAttempt(),
                  refusal.code(),
                  refusal.detail(),
                  refusal.retryAfterMillis(),
                  admission.inFlight()));
    } else if (decision instanceof SubmitDecision.Fail<UpstreamRun> failure) {
      metrics.countSubmit("fail");
      String message =
          detail.isEmpty() ? "the ledger rejected the request with code " + failure.code() : detail;
      sendFailure(session, submit, failure.code(), failure.verdict(), message);
    }
  }

  private void attachDelivery(LinkSession session, Submit submit, UpstreamRun run) {
    session
        .link()
        .send(
            SidecarFrames.accepted(submit.getRequest(), submit.getAttempt(), admission.inFlight()));
    run.attach(
        new Delivery(
            session,
            submit.getRequest(),
            submit.getAttempt(),
            submit.getResumePosition(),
            submit.getCreditBytes()));
  }

  private void sendFailure(
      LinkSession session, Submit submit, ErrorCode code, Verdict verdict, String message) {
    session
        .link()
        .send(
            SidecarFrames.failed(submit.getRequest(), submit.getAttempt(), code, verdict, message));
  }

  /**
   * Answers a Query with the state of its request.
   *
   * <p>A request that has ended without an answer, or whose answer is no longer kept, is reported
   * as finished with no bytes. The entry then submits the request again and receives the error for
   * its own attempt.
   */
  private void handleQuery(LinkSession session, Query query) {
    RequestRef ref = query.getRequest();
    if (!SubmitDecoder.isValid(ref)) {
      SidecarControlFrameHandler.logUnexpected(
          session.link(),
          "the request id of a Query needs an entry id and a positive sequence number");
      return;
    }
    QueryOutcome<UpstreamRun> outcome =
        ledger.query(SidecarFrames.idOf(ref), query.getIncarnation(), clock.getAsLong());
    Frame frame;
    if (outcome instanceof QueryOutcome.Sealed) {
      frame = SidecarFrames.outcome(ref, Outcome.State.SEALED, 0);
    } else if (outcome instanceof QueryOutcome.Running<UpstreamRun> running) {
      frame = SidecarFrames.outcome(ref, Outcome.State.RUNNING, running.run().availableBytes());
    } else if (outcome instanceof QueryOutcome.Finished<UpstreamRun> finished) {
      frame = SidecarFrames.outcome(ref, Outcome.State.FINISHED, finished.run().availableBytes());
    } else if (outcome instanceof QueryOutcome.OtherIncarnation) {
      frame = SidecarFrames.outcome(ref, Outcome.State.OTHER_INCARNATION, 0);
    } else {
      frame = SidecarFrames.outcome(ref, Outcome.State.FINISHED, 0);
    }
    session.link().send(frame);
  }

  /**
   * Cancels the delivery of an answer over this link. A request that has not arrived is sealed in
   * the ledger, so that a delayed Submit does not run it.
   */
  private void handleCancel(LinkSession session, Cancel cancel) {
    RequestRef ref = cancel.getRequest();
    if (!SubmitDecoder.isValid(ref)) {
      SidecarControlFrameHandler.logUnexpected(
          session.link(),
          "the request id of a Cancel needs an entry id and a positive sequence number");
      return;
    }
    UpstreamRun run = session.find(ref);
    if (run != null) {
      run.cancel(ref, cancel.getAttempt());
      return;
    }
    ledger.refuse(SidecarFrames.idOf(ref), ErrorCode.CANCELLED, clock.getAsLong());
  }

  private void handleCredit(LinkSession session, Credit credit) {
    UpstreamRun run = session.find(credit.getRequest());
    // Credit for an answer that has ended in the meantime is expected and ignored.
    if (run != null) {
      run.addCredit(credit.getRequest(), credit.getAttempt(), credit.getBytes());
    }
  }
}
