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
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.RequestKey;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.entry.FlowRequest.KeyBinding;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.ServiceRouter;

/**
 * Takes callers' requests in and keeps those in progress.
 *
 * <p>Thread-safe; requests are independent of each other.
 */
final class RequestHandler {
  private static final long LEAVING_RETRY_MILLIS = 1_000;
  private static final long CONFIGURATION_RETRY_MILLIS = 2_000;
  private static final long DEPENDENCY_RETRY_MILLIS = 2_000;

  private final EntrySettings settings;
  private final Fleet fleet;
  private final QuarantineBoard quarantine;
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
      Fleet fleet,
      QuarantineBoard quarantine,
      EntryMetrics metrics,
      LongSupplier clock) {
    this.settings = settings;
    this.fleet = fleet;
    this.quarantine = quarantine;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Sets what requests work with; called once before the first request. */
  void connect(RequestContext requestContext) {
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
          ErrorCode.LEAVING, "this entry is about to stop", LEAVING_RETRY_MILLIS);
    }
    if (fleet.config().isEmpty()) {
      throw TanagerException.notRun(
          ErrorCode.NO_CONFIGURATION,
          "this entry has no configuration yet",
          CONFIGURATION_RETRY_MILLIS);
    }
  }

  /** Returns whether new requests are refused because this entry is about to stop. */
  boolean isLeaving() {
    return leaving;
  }

  /** Refuses new requests from now on. */
  void leave() {
    leaving = true;
  }

  /** Returns the number of requests without a final answer. */
  int inFlight() {
    return active.size();
  }

  /** Returns the requests whose answers have not been handed over in full. */
  List<ActiveRequest> unfinished() {
    flushing.removeIf(ActiveRequest::isFlushed);
    return ImmutableList.<ActiveRequest>builder().addAll(active.values()).addAll(flushing).build();
  }

  /** Serves a request for a model or a plain service. */
  void serve(HttpMessage http, HttpExchange exchange) {
    checkServing();
    Fleet.InForce inForce = fleet.inForce().orElseThrow();
    long number = sequence.incrementAndGet();
    Intake.Checked checked = Intake.check(http, inForce.config().declaration(), number);
    ServiceSpec service = checked.service();
    ServiceRouter router = inForce.routers().get(service.name());
    checkDependencies(service);
    checkQuarantine(checked);
    budget.requested(clock.getAsLong());
    RequestId id = new RequestId(settings.id(), settings.incarnation(), number);
    RequestFlow flow =
        new RequestFlow(
            flowRequest(checked),
            router,
            budget,
            new SplittableRandom(ThreadLocalRandom.current().nextLong()));
    start(id, checked, flow, exchange);
  }

  private void start(
      RequestId id, Intake.Checked checked, RequestFlow flow, HttpExchange exchange) {
    ActiveRequest[] self = new ActiveRequest[1];
    CallerResponse response =
        new CallerResponse(exchange, bytes -> self[0].post(new FlowEvent.Taken(bytes)));
    ActiveRequest request = new ActiveRequest(id, checked, flow, response, context);
    self[0] = request;
    active.put(id.sequence(), request);
    if (leaving) {
      // The stop may not have seen this request among those in flight.
      active.remove(id.sequence());
      checkServing();
    }
    exchange.onAbort(() -> request.post(new FlowEvent.CallerGone()));
    request.post(new FlowEvent.Start());
  }

  /** Gives a request a new id, under which sidecars do not know it. */
  void renew(ActiveRequest request) {
    long old = request.id().sequence();
    long number = sequence.incrementAndGet();
    active.put(number, request);
    request.renew(new RequestId(settings.id(), settings.incarnation(), number));
    active.remove(old);
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

  private void checkQuarantine(Intake.Checked checked) {
    String service = checked.service().name();
    Fingerprint fingerprint = Fingerprint.of(service, checked.http().body());
    long remaining = quarantine.remainingMillis(service, fingerprint, clock.getAsLong());
    if (remaining > 0) {
      throw TanagerException.notRun(
          ErrorCode.QUARANTINED, "the request has crashed upstreams before", remaining);
    }
  }

  private FlowRequest flowRequest(Intake.Checked checked) {
    return new FlowRequest(
        checked.workspace(),
        checked.chat(),
        checked.returning(),
        checked.streamed(),
        checked.nonIdempotent(),
        checked.service().deterministic(),
        checked.service().kind() == ServiceKind.ENGINE,
        binding(checked));
  }

  private KeyBinding binding(Intake.Checked checked) {
    Optional<String> key = checked.key();
    if (key.isPresent() && RequestKey.isIssued(key.get())) {
      RequestKey issued = RequestKey.parse(key.get());
      return new KeyBinding.Issued(fleet.lastKnown(issued.upstreamId()), issued.incarnation());
    }
    return key.isPresent() && checked.nonIdempotent()
        ? new KeyBinding.Made()
        : new KeyBinding.None();
  }

  /** Takes a frame about a request; one about a request that is over is dropped. */
  void received(String upstreamId, Frame frame) {
    RequestRef ref = Frames.refOf(frame);
    boolean own =
        ref.getEntryId().equals(settings.id())
            && ref.getEntryIncarnation() == settings.incarnation();
    ActiveRequest request = own ? active.get(ref.getSequence()) : null;
    if (request != null) {
      request.post(Frames.event(upstreamId, frame));
    }
  }

  /** Notes that a request is over. */
  void ended(ActiveRequest request, String code, String verdict, int upstreamsTried) {
    active.remove(request.id().sequence());
    metrics.ended(request.service(), code, verdict, upstreamsTried);
    if (!request.isFlushed()) {
      flushing.add(request);
    }
  }
}
