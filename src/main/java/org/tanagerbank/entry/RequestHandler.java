package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.RequestKey;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Admits the requests of callers, holds the requests in progress and dispatches received frames to
 * them.
 *
 * <p>Thread-safe; requests are independent of each other.
 */
final class RequestHandler {
  private static final long LEAVING_RETRY_MILLIS = 1_000;
  private static final long CONFIGURATION_RETRY_MILLIS = 2_000;
  private static final long DEPENDENCY_RETRY_MILLIS = 2_000;

  private final EntrySettings settings;
  private final FleetState fleet;
  private final QuarantineRegistry quarantine;
  private final EntryMetrics metrics;
  private final LongSupplier clock;
  private final RetryBudget budget = new RetryBudget();
  private final AtomicLong sequence = new AtomicLong();
  private final Map<Long, ActiveRequest> active = new ConcurrentHashMap<>();
  private final Set<ActiveRequest> flushing = ConcurrentHashMap.newKeySet();
  private volatile boolean leaving;
  private RequestContext context;

  RequestHandler(
      EntrySettings settings,
      FleetState fleet,
      QuarantineRegistry quarantine,
      EntryMetrics metrics,
      LongSupplier clock) {
    this.settings = settings;
    this.fleet = fleet;
    this.quarantine = quarantine;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Sets the context that requests use. Must be called once, before the first request. */
  void setContext(RequestContext requestContext) {
    context = requestContext;
  }

  /** Returns whether new requests are accepted. */
  boolean isServing() {
    return !leaving && fleet.config().isPresent();
  }

  /**
   * Checks that new requests are accepted.
   *
   * @throws TanagerException if they are not
   */
  void checkServing() {
    if (leaving) {
      throw TanagerException.notRun(
          ErrorCode.LEAVING, "this entry is shutting down", LEAVING_RETRY_MILLIS);
    }
    if (fleet.config().isEmpty()) {
      throw TanagerException.notRun(
          ErrorCode.NO_CONFIGURATION,
          "this entry has no configuration yet",
          CONFIGURATION_RETRY_MILLIS);
    }
  }

  /** Returns whether new requests are refused because this entry is shutting down. */
  boolean isLeaving() {
    return leaving;
  }

  /** Refuses new requests from now on. */
  void refuseNewRequests() {
    leaving = true;
  }

  /** Returns the number of requests that have not ended. */
  int inFlight() {
    return active.size();
  }

  /**
   * Returns the requests that have not ended or whose responses have not been written to the
   * caller's connection in full.
   */
  List<ActiveRequest> unfinished() {
    flushing.removeIf(ActiveRequest::isFlushed);
    return ImmutableList.<ActiveRequest>builder().addAll(active.values()).addAll(flushing).build();
  }

  /**
   * Serves a request for a model or a plain service.
   *
   * @throws TanagerException if the request is not valid or is refused before it starts
   */
  void serve(HttpRequestMessage http, HttpExchange exchange) {
    checkServing();
    FleetState.ActiveConfig activeConfig = fleet.activeConfig().orElseThrow();
    long number = sequence.incrementAndGet();
    RequestValidator.ValidRequest validRequest =
        RequestValidator.validate(http, activeConfig.config().declaration(), number);
    ServiceSpec service = validRequest.service();
    ServiceRouter router = activeConfig.routers().get(service.name());
    checkDependencies(service);
    checkQuarantine(validRequest);
    budget.recordRequest(clock.getAsLong());
    RequestId id = RequestId.firstRound(settings.id(), settings.incarnation(), number);
    RequestFlow flow =
        new RequestFlow(
            flowRequest(validRequest),
            router,
            budget,
            new SplittableRandom(ThreadLocalRandom.current().nextLong()));
    start(id, validRequest, flow, exchange);
  }

  private void start(
      RequestId id,
      RequestValidator.ValidRequest validRequest,
      RequestFlow flow,
      HttpExchange exchange) {
    ActiveRequest[] created = new ActiveRequest[1];
    CallerResponse response =
        new CallerResponse(exchange, bytes -> created[0].post(new FlowEvent.BytesConsumed(bytes)));
    ActiveRequest request = new ActiveRequest(id, validRequest, flow, response, context);
    created[0] = request;
    active.put(id.sequence(), request);
    if (leaving) {
      // The request was added after the shutdown had begun, so the shutdown may not be waiting for
      // it.
      active.remove(id.sequence());
      checkServing();
    }
    exchange.onAbort(() -> request.post(new FlowEvent.CallerDisconnected()));
    request.post(new FlowEvent.Start());
  }

  /** Assigns a new id, which no sidecar has seen yet, to a request. */
  void assignNewId(ActiveRequest request) {
    RequestId old = request.id();
    RequestId next =
        old.nextRound()
            .orElseGet(
                () ->
                    RequestId.firstRound(
                        settings.id(), settings.incarnation(), sequence.incrementAndGet()));
    active.put(next.sequence(), request);
    request.setId(next);
    active.remove(old.sequence());
  }

  private void checkDependencies(ServiceSpec service) {
    for (String dependency : service.dependsOn()) {
      if (fleet.upstreams(dependency).isEmpty()) {
        throw TanagerException.notRun(
            ErrorCode.DEPENDENCY_DOWN,
            service.name() + " depends on " + dependency + ", which has no live upstream",
            DEPENDENCY_RETRY_MILLIS);
      }
    }
  }

  private void checkQuarantine(RequestValidator.ValidRequest validRequest) {
    String service = validRequest.service().name();
    Fingerprint fingerprint = Fingerprint.of(service, validRequest.http().body());
    long remaining = quarantine.remainingMillis(service, fingerprint, clock.getAsLong());
    if (remaining > 0) {
      throw TanagerException.notRun(
          ErrorCode.QUARANTINED,
          "the request is quarantined because it has crashed upstreams",
          remaining);
    }
  }

  private FlowRequest flowRequest(RequestValidator.ValidRequest validRequest) {
    return new FlowRequest(
        validRequest.workspace(),
        validRequest.chat(),
        validRequest.hasEarlierTurns(),
        validRequest.streamed(),
        validRequest.nonIdempotent(),
        validRequest.service().deterministic(),
        validRequest.service().kind() == ServiceKind.ENGINE,
        binding(validRequest));
  }

  private KeyBinding binding(RequestValidator.ValidRequest validRequest) {
    Optional<String> key = validRequest.key();
    if (key.isPresent() && RequestKey.isIssued(key.get())) {
      RequestKey issued = RequestKey.parse(key.get());
      return new KeyBinding.Issued(fleet.lastKnown(issued.upstreamId()), issued.incarnation());
    }
    return key.isPresent() && validRequest.nonIdempotent()
        ? new KeyBinding.CallerGenerated()
        : new KeyBinding.None();
  }

  /**
   * Dispatches a frame to the request that it belongs to. A frame of a request that has ended, or
   * of another entry or incarnation, is dropped.
   */
  void received(String upstreamId, Frame frame) {
    RequestRef ref = RequestFrames.refOf(frame);
    boolean isOwnRequest =
        ref.getEntryId().equals(settings.id())
            && ref.getEntryIncarnation() == settings.incarnation();
    ActiveRequest request = isOwnRequest ? active.get(ref.getSequence()) : null;
    if (request != null) {
      request.post(RequestFrames.event(upstreamId, frame));
    }
  }

  /** Removes a request that has ended and counts it. */
  void requestEnded(ActiveRequest request, String code, String verdict, int upstreamsTried) {
    active.remove(request.id().sequence());
    metrics.countEnded(request.service(), code, verdict, upstreamsTried);
    if (!request.isFlushed()) {
      flushing.add(request);
    }
  }
}
