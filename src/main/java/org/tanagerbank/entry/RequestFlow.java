package org.tanagerbank.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static org.tanagerbank.entry.LossTracker.upstreamLost;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tanagerbank.answer.AnswerDecision;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Takes one request from the caller to its answer, over as many upstreams as that needs.
 *
 * <p>Invariants: the caller gets one response; a request that must not run twice is sent elsewhere
 * only after a NOT_RUN verdict; the caller is told NOT_RUN only when no attempt may have run; after
 * the end no action follows. Pure decision code; not thread-safe.
 */
public final class RequestFlow {
  /** How long a query about a request whose link is gone may take before it counts as lost. */
  static final long SETTLE_MILLIS = 3_000;

  /** The time between two tries of a request that was interrupted and finds no room. */
  private static final long RECOVERY_PAUSE_MILLIS = 100;

  private enum Stage {
    NEW,
    CLAIMING,
    SUBMITTED,
    SETTLING,
    PAUSED,
    DONE
  }

  private final FlowRequest request;
  private final ResponseAssembly response;
  private final UpstreamChoice choice;
  private final LossTracker losses = new LossTracker();
  private Stage stage = Stage.NEW;
  private int step;
  private int attempt;
  private Upstream upstream;
  private long incarnation;
  private boolean sent;
  private boolean resumed;
  private boolean keySealed;
  private boolean callerGone;
  private long claimOffset;

  /** Creates the flow of a request that draws its retries from a budget. */
  public RequestFlow(
      FlowRequest request, ServiceRouter router, RetryBudget budget, RandomGenerator random) {
    this.request = checkNotNull(request);
    this.response = new ResponseAssembly(request.streamed());
    this.choice = new UpstreamChoice(request, router, budget, random);
  }

  /** Returns whether the request is over. */
  public boolean isDone() {
    return stage == Stage.DONE;
  }

  /** Returns whether a step is the one in progress. */
  public boolean isCurrent(int ofStep) {
    return ofStep == step && !isDone();
  }

  /** Returns the number of upstreams that the request was sent to. */
  public int upstreamsTried() {
    return choice.tried();
  }

  /** Takes an event and returns what to do, in order. */
  public List<FlowAction> on(FlowEvent event, long now) {
    List<FlowAction> out = new ArrayList<>();
    if (isDone()) {
      return out;
    }
    if (event instanceof FlowEvent.Start) {
      start(now, out);
    } else if (event instanceof FlowEvent.Submitted e && isCurrent(e.step())) {
      incarnation = e.incarnation();
      sent = true;
    } else if (event instanceof FlowEvent.Unreachable e && isCurrent(e.step())) {
      unreachable(now, out);
    } else if (event instanceof FlowEvent.WrongIncarnation e && isCurrent(e.step())) {
      wrongIncarnation(now, out);
    } else if (event instanceof FlowEvent.LinkLost e && isCurrent(e.step())) {
      linkLost(now, out);
    } else if (event instanceof FlowEvent.TimedOut e && isCurrent(e.step())) {
      timedOut(now, out);
    } else if (event instanceof FlowEvent.Claimed e && isCurrent(e.step())) {
      claimed(e, now, out);
    } else if (event instanceof FlowEvent.ClaimFailed e && isCurrent(e.step())) {
      finish(e.error(), now, out);
    } else if (event instanceof FlowEvent.Taken e && !callerGone) {
      response.taken(e.bytes());
      grant(out);
    } else if (event instanceof FlowEvent.CallerGone) {
      callerGone(now, out);
    } else {
      onFrame(event, now, out);
    }
    return out;
  }

  private void onFrame(FlowEvent event, long now, List<FlowAction> out) {
    if (event instanceof FlowEvent.Accepted e && isLive(e.attempt())) {
      choice
          .accepted(e.inFlight(), now)
          .forEach(holder -> out.add(new FlowAction.Spill(holder, upstream.id())));
    } else if (event instanceof FlowEvent.Refused e && isLive(e.attempt())) {
      choice.loadReported(upstream, e.inFlight(), now);
      refused(e, now, out);
    } else if (event instanceof FlowEvent.Piece e && isLive(e.attempt())) {
      decided(response.piece(e, out), now, out);
      grant(out);
    } else if (event instanceof FlowEvent.Ended e && isLive(e.attempt())) {
      ended(e, now, out);
    } else if (event instanceof FlowEvent.Failed e && concerns(e)) {
      failed(e, now, out);
    } else if (event instanceof FlowEvent.Outcome e
        && stage == Stage.SETTLING
        && e.upstreamId().equals(upstream.id())) {
      outcome(e.state(), now, out);
    }
  }

  private boolean isLive(int ofAttempt) {
    return stage == Stage.SUBMITTED && ofAttempt == attempt;
  }

  /** A Failed that answers a query bears no attempt. */
  private boolean concerns(FlowEvent.Failed e) {
    return isLive(e.attempt())
        || (stage == Stage.SETTLING
            && e.upstreamId().equals(upstream.id())
            && (e.attempt() == 0 || e.attempt() == attempt));
  }

  private void start(long now, List<FlowAction> out) {
    if (request.key() instanceof KeyBinding.Issued issued) {
      if (issued.upstream().isEmpty()) {
        finish(upstreamLost("the upstream that the key names is gone"), now, out);
      } else {
        submit(issued.upstream().get(), issued.incarnation(), now, out);
      }
    } else {
      next(now, out);
    }
  }

  /** Chooses an upstream and sends or claims the request for it. */
  private void next(long now, List<FlowAction> out) {
    choice
        .next(now)
        .ifPresentOrElse(
            chosen -> {
              if (request.key() instanceof KeyBinding.Made) {
                stage = Stage.CLAIMING;
                step++;
                out.add(new FlowAction.Claim(step, chosen, claimOffset));
              } else {
                submit(chosen, 0, now, out);
              }
            },
            () -> pauseOrFinish(choice.refusal(), now, out));
  }

  private void pauseOrFinish(TanagerException refusal, long now, List<FlowAction> out) {
    if (refusal.code() == ErrorCode.OVERLOADED && losses.mayWait(now) && !callerGone) {
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
      finish(upstreamLost("the upstream that the key is bound to is gone"), now, out);
    } else {
      submit(e.upstream().get(), e.incarnation(), now, out);
    }
  }

  private void submit(Upstream to, long only, long now, List<FlowAction> out) {
    upstream = to;
    choice.sent(upstream, now);
    resumed = false;
    sent = false;
    incarnation = only;
    attach(out);
  }

  /** Sends the request, or sends it again to attach to its run. */
  private void attach(List<FlowAction> out) {
    stage = Stage.SUBMITTED;
    step++;
    attempt++;
    long credit = response.attempt(attempt);
    boolean ignoreHint = choice.ignoresHint() || !(request.key() instanceof KeyBinding.None);
    out.add(
        new FlowAction.Submit(
            step, upstream, incarnation, attempt, response.position(), credit, ignoreHint));
  }

  private void unreachable(long now, List<FlowAction> out) {
    if (stage == Stage.SETTLING || resumed) {
      lost(upstreamLost("the upstream cannot be reached"), now, out);
    } else if (stage != Stage.CLAIMING && request.isBound()) {
      // An earlier copy of the request may have run there under the same key.
      finish(upstreamLost("the upstream that the key is bound to cannot be reached"), now, out);
    } else {
      notRun(TanagerException.notRun(ErrorCode.NO_UPSTREAM, "no link to the upstream"), now, out);
    }
  }

  private void wrongIncarnation(long now, List<FlowAction> out) {
    if (resumed || request.isBound()) {
      lost(upstreamLost("the upstream has been restarted"), now, out);
    } else {
      String message = "the upstream was restarted";
      notRun(TanagerException.notRun(ErrorCode.WRONG_INCARNATION, message), now, out);
    }
  }

  private void refused(FlowEvent.Refused e, long now, List<FlowAction> out) {
    TanagerException error = TanagerException.notRun(e.code(), e.message(), e.retryAfterMillis());
    // A made key that one upstream sealed may have been bound to another one since.
    keySealed = request.key() instanceof KeyBinding.Issued && UpstreamChoice.sealsKey(e.code());
    if (e.code() == ErrorCode.WRONG_INCARNATION) {
      wrongIncarnation(now, out);
    } else if (resumed) {
      // The ledger knew the run a moment ago; only a verdict of its own could now deny it.
      lost(TanagerException.mayHaveRun(e.code(), e.message()), now, out);
    } else if (choice.endsRequest(e.code())) {
      finish(error, now, out);
    } else if (e.code() == ErrorCode.MOVED) {
      choice.moved(upstream, e.movedTo(), now);
      retry(error, now, out);
    } else {
      notRun(error, now, out);
    }
  }

  private void decided(AnswerDecision decision, long now, List<FlowAction> out) {
    if (decision instanceof AnswerDecision.Broken broken) {
      if (!request.nonIdempotent()) {
        out.add(new FlowAction.Cancel(upstream, attempt));
      }
      lost(TanagerException.mayHaveRun(broken.code(), broken.message()), now, out);
    }
  }

  private void ended(FlowEvent.Ended e, long now, List<FlowAction> out) {
    AnswerDecision decision = response.end(e, out);
    if (!(decision instanceof AnswerDecision.Complete)) {
      decided(decision, now, out);
      return;
    }
    choice.loadReported(upstream, e.inFlight(), now);
    done(now);
  }

  private void failed(FlowEvent.Failed e, long now, List<FlowAction> out) {
    TanagerException error =
        TanagerException.of(e.code(), e.verdict(), e.retryAfterMillis(), e.message());
    if (e.verdict() == Verdict.RAN || UpstreamChoice.isFinal(e.code())) {
      finish(error, now, out);
    } else if (e.verdict() == Verdict.MAY_HAVE_RUN) {
      lost(error, now, out);
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
    if (losses.linkLost(response.position())) {
      lost(upstreamLost("links to the upstream keep breaking"), now, out);
      return;
    }
    stage = Stage.SETTLING;
    step++;
    out.add(new FlowAction.Query(step, upstream, incarnation, SETTLE_MILLIS));
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
          lost(upstreamLost("the upstream was restarted during the request"), now, out);
      default -> throw new IllegalArgumentException("outcome " + state);
    }
  }

  private void timedOut(long now, List<FlowAction> out) {
    if (stage == Stage.SETTLING) {
      lost(upstreamLost("the upstream did not answer a query"), now, out);
    } else if (stage == Stage.PAUSED) {
      choice.allowRefusedAgain();
      next(now, out);
    }
  }

  private void callerGone(long now, List<FlowAction> out) {
    callerGone = true;
    response.drop();
    boolean unsent = !sent && !resumed;
    if (stage != Stage.SUBMITTED || unsent) {
      done(now);
    } else if (!request.nonIdempotent()) {
      out.add(new FlowAction.Cancel(upstream, attempt));
      done(now);
    } else {
      grant(out);
    }
  }

  private void grant(List<FlowAction> out) {
    long bytes = response.grant();
    if (bytes > 0 && stage == Stage.SUBMITTED) {
      out.add(new FlowAction.Credit(upstream, attempt, bytes));
    }
  }

  /** The attempt may have run, and no more of its answer will come. */
  private void lost(TanagerException error, long now, List<FlowAction> out) {
    losses.attemptLost(now);
    choice.lost(upstream, now);
    if (request.nonIdempotent() || request.isBound()) {
      finish(error, now, out);
    } else {
      retry(error, now, out);
    }
  }

  /** The attempt did not run and will not run. */
  private void notRun(TanagerException error, long now, List<FlowAction> out) {
    choice.failed(upstream, now);
    retry(error, now, out);
  }

  private void retry(TanagerException error, long now, List<FlowAction> out) {
    boolean canContinue = !response.hasBegun() || request.deterministic();
    Optional<TanagerException> denied =
        callerGone || !canContinue ? Optional.of(error) : choice.permitRetry(error, now);
    if (denied.isPresent()) {
      finish(denied.get(), now, out);
      return;
    }
    if (!response.hasBegun()) {
      response.restart();
    }
    next(now, out);
  }

  private void finish(TanagerException error, long now, List<FlowAction> out) {
    // The same request may have been sent before under its key; only a sealed key rules it out.
    boolean keyMayHaveRun = request.isBound() && !keySealed && !error.code().isRequestFault();
    boolean understated =
        error.verdict() == Verdict.NOT_RUN && (losses.mayHaveRun() || keyMayHaveRun);
    response.fail(understated ? error.asMayHaveRun() : error, out);
    stage = Stage.DONE;
    choice.ended(now);
  }

  private void done(long now) {
    stage = Stage.DONE;
    choice.ended(now);
  }
}
