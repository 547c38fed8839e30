package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.ServiceRouter;

/**
 * The choice of upstreams for one request: which were tried, and whether another may be.
 *
 * <p>Tells the router when a request is sent and when it ends, each exactly once per upstream
 * tried. Pure decision code; not thread-safe.
 */
final class UpstreamChoice {
  /** Upstreams that a request is sent to at most. */
  static final int MAX_UPSTREAMS = 4;

  /** How many times a sidecar may point elsewhere; each answer costs the caller a round trip. */
  private static final int MAX_HINTS = 3;

  private static final long BUDGET_RETRY_MILLIS = 1_000;

  /** Refusals that every upstream would repeat, or that must not be evaded by moving. */
  private static final ImmutableSet<ErrorCode> FINAL =
      ImmutableSet.of(
          ErrorCode.BAD_REQUEST,
          ErrorCode.MALFORMED_JSON,
          ErrorCode.UNKNOWN_MODEL,
          ErrorCode.UNKNOWN_SERVICE,
          ErrorCode.NOT_FOUND,
          ErrorCode.METHOD_NOT_ALLOWED,
          ErrorCode.BODY_TOO_LARGE,
          ErrorCode.KEY_TOO_LONG,
          ErrorCode.KEY_MALFORMED,
          ErrorCode.KEY_REUSED,
          ErrorCode.KEY_EXPIRED,
          ErrorCode.WORKSPACE_LIMIT,
          ErrorCode.QUARANTINED);

  /** Refusals with which the ledger of a sidecar seals the key of a non-idempotent request. */
  private static final ImmutableSet<ErrorCode> SEALS_KEY =
      ImmutableSet.of(
          ErrorCode.SEALED,
          ErrorCode.OVERLOADED,
          ErrorCode.LEAVING,
          ErrorCode.NO_UPSTREAM,
          ErrorCode.NO_CONFIGURATION,
          ErrorCode.SUSPECT_WAITING);

  private final FlowRequest request;
  private final ServiceRouter router;
  private final RetryBudget budget;
  private final RandomGenerator random;
  private final Set<String> tried = new HashSet<>();
  private final Set<String> excluded = new HashSet<>();
  private final Set<String> lost = new HashSet<>();
  private final Set<String> withoutTrace = new HashSet<>();
  private Optional<String> movedTo = Optional.empty();
  private Optional<Upstream> namedBy = Optional.empty();
  private Optional<Upstream> home = Optional.empty();
  private Optional<Upstream> open = Optional.empty();
  private boolean accepted;
  private boolean asksHint;
  private int hintsLeft = MAX_HINTS;
  private TanagerException refusal;

  UpstreamChoice(
      FlowRequest request, ServiceRouter router, RetryBudget budget, RandomGenerator random) {
    this.request = request;
    this.router = router;
    this.budget = budget;
    this.random = random;
  }

  /** Returns whether a refusal ends the request wherever it comes from. */
  static boolean isFinal(ErrorCode code) {
    return FINAL.contains(code);
  }

  /** Returns whether a refusal of a non-idempotent request seals its key at that sidecar. */
  static boolean sealsKey(ErrorCode code) {
    return SEALS_KEY.contains(code);
  }

  /**
   * Returns whether a refusal ends this request, because trying elsewhere is no use or no right.
   */
  boolean endsRequest(ErrorCode code) {
    return isFinal(code)
        || request.key() instanceof KeyBinding.Issued
        || (request.isBound() && !sealsKey(code));
  }

  /** Returns the next upstream; when empty, {@link #refusal} says why. */
  Optional<Upstream> next(long now) {
    RouteDecision decision = choose(now);
    if (decision instanceof RouteDecision.Refuse && !withoutTrace.isEmpty()) {
      // Those that only have no trace of the chat can still run the request.
      withoutTrace.clear();
      hintsLeft = 0;
      decision = choose(now);
    }
    if (decision instanceof RouteDecision.Refuse refuse) {
      if (refusal == null || refusal.code() == ErrorCode.MOVED) {
        refusal =
            TanagerException.notRun(
                refuse.code(), "no upstream can take the request", refuse.retryAfterMillis());
      }
      return Optional.empty();
    }
    RouteDecision.Send send = (RouteDecision.Send) decision;
    home = Optional.of(send.home());
    asksHint = send.asksHint();
    String id = send.upstream().id();
    return tried.size() >= MAX_UPSTREAMS && !tried.contains(id)
        ? Optional.empty()
        : Optional.of(send.upstream());
  }

  private RouteDecision choose(long now) {
    ImmutableSet<String> without =
        ImmutableSet.<String>builder().addAll(excluded).addAll(withoutTrace).build();
    return router.choose(
        new RouteRequest(
            request.workspace(), request.chat(), without, movedTo, request.returning()),
        now,
        random);
  }

  /** Returns the error to end with when there is no next upstream. */
  TanagerException refusal() {
    return refusal;
  }

  /** Notes that the request goes to an upstream. */
  void sent(Upstream upstream, long now) {
    tried.add(upstream.id());
    open = Optional.of(upstream);
    router.sent(upstream.id(), request.workspace(), now);
  }

  /**
   * Notes that the upstream accepted the request, and returns the upstreams to tell that it serves
   * the chat in place of the home.
   */
  ImmutableList<Upstream> accepted(int inFlight, long now) {
    if (accepted || open.isEmpty()) {
      return ImmutableList.of();
    }
    accepted = true;
    Upstream by = open.get();
    router.accepted(by.id(), inFlight, now);
    if (!request.cached() || home.isEmpty() || home.get().id().equals(by.id())) {
      return ImmutableList.of();
    }
    return router.directoryHolders(request.chat()).stream()
        .filter(holder -> !holder.id().equals(by.id()) && !isNamer(holder))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isNamer(Upstream holder) {
    return namedBy.isPresent() && namedBy.get().id().equals(holder.id());
  }

  /** Notes that the upstream that has the request is finished with it. */
  void ended(long now) {
    if (open.isPresent() && accepted) {
      router.ended(open.get().id(), request.workspace(), now);
    } else if (open.isPresent()) {
      router.notAccepted(open.get().id(), request.workspace(), now);
    }
    open = Optional.empty();
    accepted = false;
  }

  /** Notes that an upstream may have run the request without giving its whole answer. */
  void lost(Upstream upstream, long now) {
    lost.add(upstream.id());
    failed(upstream, now);
  }

  /** Allows upstreams that only refused the request to be chosen again. */
  void allowRefusedAgain() {
    excluded.retainAll(lost);
    tried.clear();
    refusal = null;
  }

  /** Notes that an upstream refused or failed the request and must not get it again. */
  void failed(Upstream upstream, long now) {
    ended(now);
    excluded.add(upstream.id());
    hintsLeft = 0;
    movedTo = Optional.empty();
  }

  /**
   * Notes that an upstream named the holder of the chat's cache, or that it has no trace of the
   * chat when the holder is empty. It did not refuse to run the request.
   */
  void moved(Upstream from, String holder, long now) {
    ended(now);
    tried.remove(from.id());
    hintsLeft--;
    if (holder.isEmpty()) {
      withoutTrace.add(from.id());
      namedBy.ifPresent(n -> withoutTrace.add(n.id()));
      movedTo = Optional.empty();
    } else {
      movedTo = Optional.of(holder);
      namedBy = Optional.of(from);
    }
  }

  /** Returns whether the next sidecar must run or refuse the request, not point elsewhere. */
  boolean ignoresHint() {
    return !asksHint || hintsLeft <= 0;
  }

  /** Returns nothing when a retry is permitted, and otherwise the error to end with. */
  Optional<TanagerException> permitRetry(TanagerException error, long now) {
    refusal = error;
    if (error.verdict() == Verdict.NOT_RUN) {
      // Nothing ran, so trying elsewhere adds no load; MAX_UPSTREAMS bounds the messages.
      return Optional.empty();
    }
    return budget.tryRetry(now)
        ? Optional.empty()
        : Optional.of(
            TanagerException.of(
                ErrorCode.RETRY_BUDGET_EXHAUSTED,
                error.verdict(),
                BUDGET_RETRY_MILLIS,
                "no retry left after " + error.code() + ": " + error.getMessage()));
  }

  void loadReported(Upstream upstream, int inFlight, long now) {
    router.loadReported(upstream.id(), inFlight, now);
  }

  int tried() {
    return tried.size();
  }
}
