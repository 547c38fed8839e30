package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Selects the upstreams for one request: records which upstreams were tried, and decides whether
 * another may be tried.
 *
 * <p>Reports to the router each send of the request, and the end of each send exactly once. This
 * class performs no I/O and reads no clock. Not thread-safe.
 */
final class UpstreamSelector {
  /** The most upstreams that a request is sent to. */
  static final int MAX_UPSTREAMS = 4;

  /**
   * How often sidecars may redirect a request to another upstream. Each redirect costs the caller a
   * round trip.
   */
  private static final int MAX_HINTS = 3;

  /** The retry delay, in milliseconds, given to the caller when the retry budget is exhausted. */
  private static final long BUDGET_RETRY_DELAY_MILLIS = 1_000;

  /**
   * Refusals that every upstream would repeat, or that a request must not evade by going to another
   * upstream.
   */
  private static final ImmutableSet<ErrorCode> FINAL_REFUSALS =
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

  /** Refusals upon which the ledger of a sidecar seals the key of a non-idempotent request. */
  private static final ImmutableSet<ErrorCode> KEY_SEALING_REFUSALS =
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
  private final Set<String> lostUpstreams = new HashSet<>();
  private final Set<String> withoutCache = new HashSet<>();
  private Optional<String> movedTo = Optional.empty();
  private Optional<Upstream> hintSource = Optional.empty();
  private Optional<Upstream> home = Optional.empty();
  private Optional<Upstream> current = Optional.empty();
  private boolean accepted;
  private boolean hintAllowed;
  private int hintsLeft = MAX_HINTS;
  private TanagerException refusal;

  UpstreamSelector(
      FlowRequest request, ServiceRouter router, RetryBudget budget, RandomGenerator random) {
    this.request = request;
    this.router = router;
    this.budget = budget;
    this.random = random;
  }

  /** Returns whether a refusal ends the request, whichever upstream it comes from. */
  static boolean isFinal(ErrorCode code) {
    return FINAL_REFUSALS.contains(code);
  }

  /**
   * Returns whether a refusal means that the sidecar has sealed the key of a non-idempotent
   * request.
   */
  static boolean sealsKey(ErrorCode code) {
    return KEY_SEALING_REFUSALS.contains(code);
  }

  /**
   * Returns whether a refusal ends this request, because another upstream would refuse it as well
   * or because its key does not allow another upstream.
   */
  boolean endsRequest(ErrorCode code) {
    return isFinal(code)
        || request.key() instanceof KeyBinding.Issued
        || (request.isBound() && !sealsKey(code));
  }

  /**
   * Returns the next upstream to send the request to. If there is none, {@link #refusal} returns
   * the reason.
   */
  Optional<Upstream> next(long now) {
    RouteDecision decision = choose(now);
    if (decision instanceof RouteDecision.Refuse && !withoutCache.isEmpty()) {
      // Upstreams that were skipped only because they have no cache of the chat can still run the
      // request.
      withoutCache.clear();
      hintsLeft = 0;
      decision = choose(now);
    }
    if (decision instanceof RouteDecision.Refuse refuse) {
      if (refusal == null || refusal.code() == ErrorCode.MOVED) {
        refusal =
            TanagerException.notRun(
                refuse.code(),
                "no upstream is available for the request",
                refuse.retryAfterMillis());
      }
      return Optional.empty();
    }
    RouteDecision.Send send = (RouteDecision.Send) decision;
    home = Optional.of(send.home());
    hintAllowed = send.allowsHint();
    String id = send.upstream().id();
    return tried.size() >= MAX_UPSTREAMS && !tried.contains(id)
        ? Optional.empty()
        : Optional.of(send.upstream());
  }

  private RouteDecision choose(long now) {
    ImmutableSet<String> skipped =
        ImmutableSet.<String>builder().addAll(excluded).addAll(withoutCache).build();
    return router.choose(
        new RouteRequest(
            request.workspace(), request.chat(), skipped, movedTo, request.hasEarlierTurns()),
        now,
        random);
  }

  /**
   * Returns the error with which the request ends when there is no next upstream; null before a
   * refusal.
   */
  TanagerException refusal() {
    return refusal;
  }

  /** Records that the request is sent to an upstream. */
  void sent(Upstream upstream, long now) {
    tried.add(upstream.id());
    current = Optional.of(upstream);
    router.recordSent(upstream.id(), request.workspace(), now);
  }

  /**
   * Records that the upstream accepted the request, and returns the upstreams to notify if it
   * serves the chat in place of the chat's home. The upstream that named it as the holder of the
   * cache is not notified.
   */
  ImmutableList<Upstream> accepted(int inFlight, long now) {
    if (accepted || current.isEmpty()) {
      return ImmutableList.of();
    }
    accepted = true;
    Upstream serving = current.get();
    router.recordAccepted(serving.id(), inFlight, now);
    if (!request.usesPrefixCache() || home.isEmpty() || home.get().id().equals(serving.id())) {
      return ImmutableList.of();
    }
    return router.directoryHolders(request.chat()).stream()
        .filter(holder -> !holder.id().equals(serving.id()) && !isHintSource(holder))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isHintSource(Upstream holder) {
    return hintSource.isPresent() && hintSource.get().id().equals(holder.id());
  }

  /**
   * Records that the upstream to which the request was sent no longer has it in progress. Does
   * nothing if there is none.
   */
  void ended(long now) {
    if (current.isPresent() && accepted) {
      router.recordEnded(current.get().id(), request.workspace(), now);
    } else if (current.isPresent()) {
      router.recordNotAccepted(current.get().id(), request.workspace(), now);
    }
    current = Optional.empty();
    accepted = false;
  }

  /** Records that an upstream may have run the request but will not deliver its whole answer. */
  void lost(Upstream upstream, long now) {
    lostUpstreams.add(upstream.id());
    failed(upstream, now);
  }

  /** Allows upstreams that refused the request, but may not have run it, to be selected again. */
  void allowRefusedAgain() {
    excluded.retainAll(lostUpstreams);
    tried.clear();
    refusal = null;
  }

  /** Records that an upstream refused or failed the request and must not be selected again. */
  void failed(Upstream upstream, long now) {
    ended(now);
    excluded.add(upstream.id());
    hintsLeft = 0;
    movedTo = Optional.empty();
  }

  /**
   * Records that an upstream redirected the request to the holder of the chat's cache, or, if the
   * holder is empty, that the upstream has no cache of the chat. The upstream has not refused to
   * run the request and may be selected again.
   */
  void moved(Upstream from, String holder, long now) {
    ended(now);
    tried.remove(from.id());
    hintsLeft--;
    if (holder.isEmpty()) {
      withoutCache.add(from.id());
      hintSource.ifPresent(n -> withoutCache.add(n.id()));
      movedTo = Optional.empty();
    } else {
      movedTo = Optional.of(holder);
      hintSource = Optional.of(from);
    }
  }

  /** Returns whether the next sidecar must run or refuse the request and must not redirect it. */
  boolean ignoresHint() {
    return !hintAllowed || hintsLeft <= 0;
  }

  /**
   * Returns empty if a retry is permitted, and otherwise the error with which the request ends.
   *
   * @param error the reason for the retry
   */
  Optional<TanagerException> checkRetry(TanagerException error, long now) {
    refusal = error;
    if (error.verdict() == Verdict.NOT_RUN) {
      // The request did not run, so a retry adds no load to the engines. MAX_UPSTREAMS bounds the
      // number of messages.
      return Optional.empty();
    }
    return budget.tryAcquire(now)
        ? Optional.empty()
        : Optional.of(
            TanagerException.of(
                ErrorCode.RETRY_BUDGET_EXHAUSTED,
                error.verdict(),
                BUDGET_RETRY_DELAY_MILLIS,
                "the retry budget is exhausted after " + error.code() + ": " + error.getMessage()));
  }

  /** Passes a load that an upstream reported with an answer to the router. */
  void loadReported(Upstream upstream, int inFlight, long now) {
    router.updateLoad(upstream.id(), inFlight, now);
  }

  /** Returns the number of upstreams tried, not counting those that redirected the request. */
  int tried() {
    return tried.size();
  }
}
