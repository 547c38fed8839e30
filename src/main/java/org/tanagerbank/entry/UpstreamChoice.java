package org.tanagerbank.entry;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
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
  private Optional<String> movedTo = Optional.empty();
  private Optional<Upstream> home = Optional.empty();
  private Optional<Upstream> open = Optional.empty();
  private Optional<String> passedOver = Optional.empty();
  private boolean moved;
  private boolean homeUnavailable;
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

  /** Returns the next upstream; when empty, {@link #refusal} says why. */
  Optional<Upstream> next(long now) {
    RouteDecision decision = choose(passedOver, now);
    if (decision instanceof RouteDecision.Refuse && passedOver.isPresent()) {
      decision = choose(Optional.empty(), now);
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
    home = home.isEmpty() ? Optional.of(send.home()) : home;
    String id = send.upstream().id();
    return tried.size() >= MAX_UPSTREAMS && !tried.contains(id)
        ? Optional.empty()
        : Optional.of(send.upstream());
  }

  private RouteDecision choose(Optional<String> without, long now) {
    ImmutableSet.Builder<String> all = ImmutableSet.builder();
    all.addAll(excluded);
    without.ifPresent(all::add);
    boolean returning = request.returning() && passedOver.isEmpty();
    return router.choose(
        new RouteRequest(request.workspace(), request.chat(), all.build(), movedTo, returning),
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

  /** Notes that the upstream that has the request is finished with it. */
  void ended(long now) {
    open.ifPresent(u -> router.ended(u.id(), request.workspace(), now));
    open = Optional.empty();
  }

  /** Notes that an upstream refused or failed the request and must not get it again. */
  void failed(Upstream upstream, ErrorCode code, long now) {
    ended(now);
    excluded.add(upstream.id());
    boolean full = code == ErrorCode.OVERLOADED;
    homeUnavailable |= !full && home.map(Upstream::id).equals(Optional.of(upstream.id()));
    if (movedTo.equals(Optional.of(upstream.id()))) {
      movedTo = Optional.empty();
    }
  }

  /**
   * Notes that an upstream pointed to the holder of the chat's cache, or to the next candidate when
   * the holder is empty. The upstream itself may still be chosen later.
   */
  void moved(Upstream from, String holder) {
    moved = true;
    movedTo = holder.isEmpty() ? Optional.empty() : Optional.of(holder);
    passedOver = holder.isEmpty() ? Optional.of(from.id()) : Optional.empty();
  }

  /** Returns whether an upstream pointed to another one. */
  boolean wasMoved() {
    return moved;
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

  /** Returns the home to tell that an upstream served the chat because the home was full. */
  Optional<Upstream> spillHome(Upstream servedBy) {
    boolean elsewhere = home.isPresent() && !home.get().id().equals(servedBy.id());
    boolean knownToHome = movedTo.equals(Optional.of(servedBy.id()));
    return request.cached() && elsewhere && !knownToHome && !homeUnavailable
        ? home
        : Optional.empty();
  }

  void loadReported(Upstream upstream, int inFlight, long now) {
    router.loadReported(upstream.id(), inFlight, now);
  }

  int tried() {
    return tried.size();
  }
}
