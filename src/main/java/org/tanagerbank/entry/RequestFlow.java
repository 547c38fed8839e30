package org.tanagerbank.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static org.tanagerbank.entry.LossTracker.upstreamLost;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tanagerbank.answer.AnswerDecision;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Decides how one request is sent to upstreams until the caller has its answer or an error.
 *
 * <p>Invariants: the caller gets at most one response; a request that must not run twice is sent to
 * another upstream only after a NOT_RUN verdict; the caller gets NOT_RUN only if no attempt may
 * have run; no action follows the end. No I/O and no clock. Not thread-safe.
 */
public final class RequestFlow {
  /** Time limit of the query for a request whose link was lost; then its attempt counts as lost. */
  static final long QUERY_TIMEOUT_MILLIS = 3_000;

  /** The pause between two tries of an interrupted request while all upstreams are overloaded. */
  private static final long RECOVERY_PAUSE_MILLIS = 100;

  private enum Stage {
    NEW,
    CLAIMING,
    SUBMITTED,
    QUERYING,
    PAUSED,
    DONE
  }

  private final FlowRequest request;
  private final ResponseAssembler response;
  private final UpstreamSelector selector;
  private final LossTracker losses = new LossTracker();
  private Stage stage = Stage.NEW;
  private int step;
  private int attempt;
  private Upstream upstream;
  private long incarnation;
  private boolean sent;
  private boolean resumed;
  private boolean keySealed;
  private boolean callerDisconnected;
  private long claimOffset;

  /** Creates the flow of a request; {@code budget} limits its retries. */
  public RequestFlow(
      FlowRequest request, ServiceRouter router, RetryBudget budget, RandomGenerator random) {
    this.request = checkNotNull(request);
    this.response = new ResponseAssembler(request.streamed(), request.deterministic());
    this.selector = new UpstreamSelector(request, router, budget, random);
  }

  /** Returns whether the request has ended. */
  public boolean isDone() {
    return stage == Stage.DONE;
  }

  /** Returns whether a step is the current one. */
  public boolean isCurrentStep(int ofStep) {
    return ofStep == step && !isDone();
  }

  /** Returns the number of upstreams tried, not counting those that redirected the request. */
  public int upstreamsTried() {
    return selector.tried();
  }

  /** Processes an event and returns the actions to perform, in order. */
  public List<FlowAction> handle(FlowEvent event, long now) {
    List<FlowAction> out = new ArrayList<>();
    if (isDone()) {
      return out;
    }
    if (event instanceof FlowEvent.Start) {
      start(now, out);
    } else if (event instanceof FlowEvent.Submitted e && isCurrentStep(e.step())) {
      incarnation = e.incarnation();
      sent = true;
    } else if (event instanceof FlowEvent.Unreachable e && isCurrentStep(e.step())) {
      unreachable(now, out);
    } else if (event instanceof FlowEvent.WrongIncarnation e && isCurrentStep(e.step())) {
      wrongIncarnation(now, out);
    } else if (event instanceof FlowEvent.LinkLost e && isCurrentStep(e.step())) {
      linkLost(now, out);
    } else if (event instanceof FlowEvent.TimedOut e && isCurrentStep(e.step())) {
      timedOut(now, out);
    } else if (event instanceof FlowEvent.Claimed e && isCurrentStep(e.step())) {
      claimed(e, now, out);
    } else if (event instanceof FlowEvent.ClaimFailed e && isCurrentStep(e.step())) {
      finish(e.error(), now, out);
    } else if (event instanceof FlowEvent.BytesConsumed e && !callerDisconnected) {
      response.consume(e.bytes());
      grantCredit(out);
    } else if (event instanceof FlowEvent.CallerDisconnected) {
      callerDisconnected(now, out);
    } else {
      onFrame(event, now, out);
    }
    return out;
  }

  private void onFrame(FlowEvent event, long now, List<FlowAction> out) {
    if (event instanceof FlowEvent.Accepted e && isCurrentAttempt(e.attempt())) {
      selector
          .accepted(e.inFlight(), now)
          .forEach(holder -> out.add(new FlowAction.SendSpillNotice(holder, upstream.id())));
    } else if (event instanceof FlowEvent.Refused e && isCurrentAttempt(e.attempt())) {
      selector.loadReported(upstream, e.inFlight(), now);
      refused(e, now, out);
    } else if (event instanceof FlowEvent.AnswerChunk e && isCurrentAttempt(e.attempt())) {
      applyDecision(response.onChunk(e, out), now, out);
      grantCredit(out);
    } else if (event instanceof FlowEvent.AnswerEnded e && isCurrentAttempt(e.attempt())) {
      ended(e, now, out);
    } else if (event instanceof FlowEvent.Failed e && concernsCurrentAttempt(e)) {
      failed(e, now, out);
    } else if (event instanceof FlowEvent.Outcome e
        && stage == Stage.QUERYING
        && e.upstreamId().equals(upstream.id())) {
      outcome(e.state(), now, out);
    }
  }

  private boolean isCurrentAttempt(int ofAttempt) {
    return stage == Stage.SUBMITTED && ofAttempt == attempt;
  }

  /** Returns whether a Failed concerns the current attempt; the answer to a query has attempt 0. */
  private boolean concernsCurrentAttempt(FlowEvent.Failed e) {
    return isCurrentAttempt(e.attempt())
        || (stage == Stage.QUERYING
            && e.upstreamId().equals(upstream.id())
            && (e.attempt() == 0 || e.attempt() == attempt));
  }

  private void start(long now, List<FlowAction> out) {
    if (request.key() instanceof KeyBinding.Issued issued) {
      if (issued.upstream().isEmpty()) {
        finish(upstreamLost("the upstream that the key was issued for is not known"), now, out);
      } else {
        submit(issued.upstream().get(), issued.incarnation(), now, out);
      }
    } else {
      sendToNextUpstream(now, out);
    }
  }

  /** Selects an upstream, and sends the request to it or claims the request's key for it. */
  private void sendToNextUpstream(long now, List<FlowAction> out) {
    selector
        .next(now)
        .ifPresentOrElse(
            chosen -> {
              if (request.key() instanceof KeyBinding.CallerGenerated) {
                stage = Stage.CLAIMING;
                step++;
                out.add(new FlowAction.Claim(step, chosen, claimOffset));
              } else {
                submit(chosen, 0, now, out);
              }
            },
            () -> pauseOrFinish(selector.refusal(), now, out));
  }

  private void pauseOrFinish(TanagerException refusal, long now, List<FlowAction> out) {
    if (refusal.code() == ErrorCode.OVERLOADED && losses.mayWait(now) && !callerDisconnected) {
      stage = Stage.PAUSED;
      step++;
      out.add(new FlowAction.Pause(step, RECOVERY_PAUSE_MILLIS));
    } else {
      finish(refusal, now, out);
    }
  }

  private void claimed(FlowEvent.Claimed e, long now, List<FlowAction> out) {
    claimOffset = e.offset();
    if (e.upstream().isEmpty()) {
      finish(upstreamLost("the upstream that the key is bound to is not known"), now, out);
    } else {
      submit(e.upstream().get(), e.incarnation(), now, out);
    }
  }

  private void submit(Upstream to, long requiredIncarnation, long now, List<FlowAction> out) {
    upstream = to;
    selector.sent(upstream, now);
    resumed = false;
    sent = false;
    incarnation = requiredIncarnation;
    attach(out);
  }

  /** Sends the request, or sends it again to attach to its existing run. */
  private void attach(List<FlowAction> out) {
    stage = Stage.SUBMITTED;
    step++;
    attempt++;
    long credit = response.attempt(attempt);
    boolean ignoreHint = selector.ignoresHint() || !(request.key() instanceof KeyBinding.None);
    out.add(
        new FlowAction.Submit(
            step, upstream, incarnation, attempt, response.position(), credit, ignoreHint));
  }

  private void unreachable(long now, List<FlowAction> out) {
    if (stage == Stage.QUERYING || resumed) {
      attemptLost(upstreamLost("the upstream cannot be reached"), now, out);
    } else if (stage != Stage.CLAIMING && request.isBound()) {
      // An earlier copy of the request may have run at this upstream under the same key.
      finish(upstreamLost("the upstream that the key is bound to cannot be reached"), now, out);
    } else {
      notRun(TanagerException.notRun(ErrorCode.NO_UPSTREAM, "upstream not reachable"), now, out);
    }
  }

  private void wrongIncarnation(long now, List<FlowAction> out) {
    if (resumed || request.isBound()) {
      attemptLost(upstreamLost("the upstream restarted and may have run the request"), now, out);
    } else {
      String message = "the upstream was restarted before it received the request";
      notRun(TanagerException.notRun(ErrorCode.WRONG_INCARNATION, message), now, out);
    }
  }

  private void refused(FlowEvent.Refused e, long now, List<FlowAction> out) {
    TanagerException error = TanagerException.notRun(e.code(), e.message(), e.retryAfterMillis());
    // A caller-generated key that this upstream sealed may since be bound to another one.
    keySealed = request.key() instanceof KeyBinding.Issued && UpstreamSelector.sealsKey(e.code());
    if (e.code() == ErrorCode.WRONG_INCARNATION) {
      wrongIncarnation(now, out);
    } else if (resumed) {
      // The ledger had the run a moment ago; only a verdict of the ledger could rule it out now.
      attemptLost(TanagerException.mayHaveRun(e.code(), e.message()), now, out);
    } else if (selector.endsRequest(e.code())) {
      finish(error, now, out);
    } else if (e.code() == ErrorCode.MOVED) {
      selector.moved(upstream, e.movedTo(), now);
      retry(error, now, out);
    } else {
      notRun(error, now, out);
    }
  }

  private void applyDecision(AnswerDecision decision, long now, List<FlowAction> out) {
    if (decision instanceof AnswerDecision.Failed failed) {
      if (!request.nonIdempotent()) {
        out.add(new FlowAction.Cancel(upstream, attempt));
      }
      attemptLost(TanagerException.mayHaveRun(failed.code(), failed.message()), now, out);
    }
  }

  private void ended(FlowEvent.AnswerEnded e, long now, List<FlowAction> out) {
    AnswerDecision decision = response.end(e, out);
    if (!(decision instanceof AnswerDecision.Complete)) {
      applyDecision(decision, now, out);
      return;
    }
    selector.loadReported(upstream, e.inFlight(), now);
    complete(now);
  }

  private void failed(FlowEvent.Failed e, long now, List<FlowAction> out) {
    TanagerException error =
        TanagerException.of(e.code(), e.verdict(), e.retryAfterMillis(), e.message());
    if (e.verdict() == Verdict.RAN || UpstreamSelector.isFinal(e.code())) {
      finish(error, now, out);
    } else if (e.verdict() == Verdict.MAY_HAVE_RUN) {
      attemptLost(error, now, out);
    } else if (request.isBound()) {
      finish(error, now, out);
    } else {
      notRun(error, now, out);
    }
  }

  private void linkLost(long now, List<FlowAction> out) {
    if (stage == Stage.SUBMITTED && !sent && !resumed) {
      unreachable(now, out);
      return;
    }
    if (losses.recordLinkLoss(response.position())) {
      attemptLost(upstreamLost("repeated link losses without progress of the answer"), now, out);
      return;
    }
    stage = Stage.QUERYING;
    step++;
    out.add(new FlowAction.Query(step, upstream, incarnation, QUERY_TIMEOUT_MILLIS));
  }

  private void outcome(FlowEvent.Outcome.State state, long now, List<FlowAction> out) {
    switch (state) {
      case ATTACHABLE -> {
        resumed = true;
        attach(out);
      }
      case SEALED -> {
        String message = "the request did not reach the upstream";
        TanagerException error = TanagerException.notRun(ErrorCode.SEALED, message);
        if (request.isBound()) {
          finish(error, now, out);
        } else {
          notRun(error, now, out);
        }
      }
      case OTHER_INCARNATION ->
          attemptLost(upstreamLost("the upstream was restarted during the request"), now, out);
      default -> throw new IllegalArgumentException("unexpected outcome of a query: " + state);
    }
  }

  private void timedOut(long now, List<FlowAction> out) {
    if (stage == Stage.QUERYING) {
      attemptLost(upstreamLost("the upstream did not answer the query in time"), now, out);
    } else if (stage == Stage.PAUSED) {
      selector.allowRefusedAgain();
      sendToNextUpstream(now, out);
    }
  }

  private void callerDisconnected(long now, List<FlowAction> out) {
    callerDisconnected = true;
    response.drop();
    boolean isUnsent = !sent && !resumed;
    if (stage != Stage.SUBMITTED || isUnsent) {
      complete(now);
    } else if (!request.nonIdempotent()) {
      out.add(new FlowAction.Cancel(upstream, attempt));
      complete(now);
    } else {
      grantCredit(out);
    }
  }

  private void grantCredit(List<FlowAction> out) {
    long bytes = response.grant();
    if (bytes > 0 && stage == Stage.SUBMITTED) {
      out.add(new FlowAction.Credit(upstream, attempt, bytes));
    }
  }

  /** Handles an attempt that may have run and whose answer will not be completed. */
  private void attemptLost(TanagerException error, long now, List<FlowAction> out) {
    losses.recordAttemptLoss(now);
    selector.lost(upstream, now);
    if (request.nonIdempotent() || request.isBound()) {
      finish(error, now, out);
    } else {
      retry(error, now, out);
    }
  }

  /** Handles an attempt that did not run and never will. */
  private void notRun(TanagerException error, long now, List<FlowAction> out) {
    selector.failed(upstream, now);
    retry(error, now, out);
  }

  private void retry(TanagerException error, long now, List<FlowAction> out) {
    Optional<TanagerException> denial =
        callerDisconnected || !response.canRestart()
            ? Optional.of(error)
            : selector.checkRetry(error, now);
    if (denial.isPresent()) {
      finish(denial.get(), now, out);
      return;
    }
    response.restart();
    sendToNextUpstream(now, out);
  }

  private void finish(TanagerException error, long now, List<FlowAction> out) {
    // An earlier copy with the same key may have run; only a sealed key rules that out.
    boolean mayHaveRunBefore = request.isBound() && !keySealed && !error.code().isRequestFault();
    boolean isUnderstated =
        error.verdict() == Verdict.NOT_RUN && (losses.mayHaveRun() || mayHaveRunBefore);
    response.fail(isUnderstated ? error.asMayHaveRun() : error, out);
    stage = Stage.DONE;
    selector.ended(now);
  }

  private void complete(long now) {
    stage = Stage.DONE;
    selector.ended(now);
  }
}
