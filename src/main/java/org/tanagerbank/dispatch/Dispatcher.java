package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerHandler;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Workspace;
import org.tanagerbank.stream.StreamOrigins;
import org.tanagerbank.upstream.HeaderCodec;
import org.tanagerbank.upstream.TakenUpStream;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Finds the route of each request, checks its key and starts its execution.
 *
 * <p>Requests that arrive before the configuration, the list of upstreams and the cache contents
 * are loaded wait for them for a limited time. Not thread-safe; confined to the event loop.
 */
public final class Dispatcher implements CallerHandler {
  /**
   * How long a request waits, in milliseconds, for the store to confirm the configuration. The
   * store responds within a few milliseconds unless it is slow or unavailable.
   */
  private static final long STORE_RESPONSE_WAIT_MILLIS = 60;

  private static final String CONFIG_OUTDATED = "keys cannot be checked: configuration too old";

  private final DispatchRuntime runtime;
  private final HeaderCodec headerCodec;
  private final ConfigState config;
  private final DispatchSettings settings;
  private final DispatchObserver observer;
  private final Upstreams upstreams;
  private final RetryBudgets retryBudgets;
  private final CrashGuard crashGuard;
  private final SurvivalCheck survivalCheck;
  private final SharedUpstreamState sharedUpstreamState;
  private final StreamOrigins streamOrigins;
  private final OriginChecks originChecks;
  private final WaitingRequests waiting;
  private Runnable refreshConfig = () -> {};
  private PlacementListener placementListener = (upstream, prompt, fetchedTokens) -> {};
  private final RefusalSender refusalSender;
  private final Set<RequestExecution> executions = new LinkedHashSet<>();
  private final HeldBytes heldBytes = new HeldBytes();
  private final UpstreamListProof upstreamListProof;
  private final UpstreamVersions upstreamVersions;
  private boolean upstreamsLoaded;
  private boolean awaitingCaches;
  private LongPredicate admissionCheck = longest -> true;

  private Dispatcher(
      DispatchRuntime runtime,
      HeaderCodec headerCodec,
      ConfigState config,
      DispatchSettings settings,
      DispatchObserver observer) {
    this.runtime = runtime;
    this.headerCodec = headerCodec;
    this.config = config;
    this.settings = settings;
    this.observer = observer;
    this.refusalSender = new RefusalSender(observer, config, runtime.storeClockMillis());
    this.upstreams = Upstreams.on(runtime, settings.coldTolerance());
    this.waiting = new WaitingRequests(runtime.loop());
    this.crashGuard = new CrashGuard(settings.instanceId(), runtime.clockMillis(), this::runLater);
    this.upstreamListProof = new UpstreamListProof(this::runLater);
    this.upstreamVersions =
        new UpstreamVersions(upstreams.versionHistory(), this::runLater, runtime.clockMillis());
    this.survivalCheck = new SurvivalCheck(runtime.clockMillis());
    upstreams.setEndListener(crashGuard::upstreamEnded);
    this.retryBudgets = new RetryBudgets(settings);
    this.streamOrigins = new StreamOrigins(runtime.clockMillis());
    this.originChecks = new OriginChecks(streamOrigins, runtime.clockMillis());
    this.sharedUpstreamState =
        new SharedUpstreamState(
            upstreams,
            retryBudgets,
            crashGuard,
            config,
            runtime.clockMillis(),
            runtime.storeClockMillis(),
            () -> refreshConfig.run());
  }

  /** Returns a dispatcher without upstreams. */
  public static Dispatcher create(
      DispatchRuntime runtime,
      HeaderCodec headerCodec,
      ConfigState config,
      DispatchSettings settings,
      DispatchObserver observer) {
    return new Dispatcher(runtime, headerCodec, config, settings, observer);
  }

  /** Replaces the list of upstreams. The first call resumes requests that waited only for it. */
  public void updateUpstreams(Collection<UpstreamReport> reports) {
    upstreams.update(reports, config.config());
    if (!upstreamsLoaded) {
      upstreamsLoaded = true;
      onConfigConfirmed();
    }
  }

  /** Sets the action that reads what upstreams have written to the store since the last read. */
  public void setUpstreamsRefresh(Runnable action) {
    upstreamListProof.setRefresh(action);
  }

  /**
   * Records that all reports that upstreams wrote up to a time are in the list.
   *
   * @param asOfMillis the time, by the steady clock
   */
  public void confirmUpstreamsAsOf(long asOfMillis) {
    upstreamListProof.confirm(asOfMillis);
    originChecks.confirm(asOfMillis);
  }

  /** Returns what records where the streams begin that are forwarded here. */
  OriginChecks originChecks() {
    return originChecks;
  }

  /** Returns the software versions that upstreams had lately. */
  public UpstreamVersions upstreamVersions() {
    return upstreamVersions;
  }

  /** Returns up to which time the list of upstreams is known to be complete. */
  UpstreamListProof upstreamListProof() {
    return upstreamListProof;
  }

  /**
   * Records that this instance has started again, so that it lacks what it knew before. Makes new
   * requests wait until {@link #onCacheContentsLoaded} is called. An engine may have their prompts
   * cached, and a request placed without that information would prefill its prompt again.
   */
  public void recordRestart() {
    awaitingCaches = true;
    retryBudgets.recordRestart();
  }

  /** Resumes the requests that waited for the cache contents of the engines. */
  public void onCacheContentsLoaded() {
    awaitingCaches = false;
    onConfigConfirmed();
  }

  /**
   * Sets the predicate that decides whether a request is admitted.
   *
   * @param predicate takes the longest time, in milliseconds, that the request may last
   */
  public void setAdmissionCheck(LongPredicate predicate) {
    admissionCheck = predicate;
  }

  /** Sets the listener that is notified of each request sent to an engine. */
  public void setPlacementListener(PlacementListener listener) {
    placementListener = listener;
  }

  /** Returns the state of the upstreams that this instance shares with its peers. */
  public SharedUpstreamState sharedUpstreamState() {
    return sharedUpstreamState;
  }

  /** Returns where the streams began that callers may take up here. */
  public StreamOrigins streamOrigins() {
    return streamOrigins;
  }

  /** Returns what keeps requests that crash upstreams away from them. */
  public CrashGuard crashGuard() {
    return crashGuard;
  }

  void notifyPlaced(UpstreamChoice choice, Prompt prompt) {
    placementListener.placed(choice.upstream().report().id(), prompt, choice.fetchedTokens());
  }

  /**
   * Closes idle connections that the upstream is about to close, and notices pauses of this
   * process. Must be called a few times a second.
   */
  public void tick() {
    survivalCheck.beat();
    upstreams.closeExpired();
  }

  /** Sets the action that asks the store for a newer configuration; runs when it may be stale. */
  public void setConfigRefresh(Runnable action) {
    refreshConfig = action;
  }

  /**
   * Resumes the waiting requests after the store confirmed that the configuration is current. Does
   * nothing until the configuration, the list of upstreams and the cache contents are loaded.
   */
  public void onConfigConfirmed() {
    if (isStarted()) {
      waiting.resumeAll();
    }
  }

  @Override
  public void handle(CallerRequest request, CallerExchange exchange) {
    if (headerCodec.requestId(request.headers()).isEmpty()) {
      // Without an id, no response of an upstream could be matched to the request.
      refuse(request, exchange, Refusal.noRequestId());
    } else if (!isStarted()) {
      waitForStore(request, exchange, settings.startWaitMillis());
    } else if (config.allowsKeys(storeNowMillis())) {
      route(request, exchange);
    } else {
      // The configuration looks stale after a pause of this process, for example. A new request to
      // the store may be enough to confirm that it is current.
      waitForStore(request, exchange, STORE_RESPONSE_WAIT_MILLIS);
      refreshConfig.run();
    }
  }

  private boolean isStarted() {
    return upstreamsLoaded
        && !awaitingCaches
        && config.config().isPresent()
        && !config.isAwaitingOthers(storeNowMillis());
  }

  /** Routes a request once the store has responded, or after {@code limitMillis}. */
  private void waitForStore(CallerRequest request, CallerExchange exchange, long limitMillis) {
    if (waiting.isFull()) {
      refuse(request, exchange, Refusal.notRun(CONFIG_OUTDATED));
    } else {
      waiting.add(request, exchange, () -> route(request, exchange), limitMillis);
    }
  }

  private void route(CallerRequest request, CallerExchange exchange) {
    if (config.config().isEmpty()) {
      refuse(request, exchange, Refusal.notRun("no configuration yet"));
      return;
    }
    RoutingConfig current = config.config().get();
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<Route> route = current.routes().find(host, request.target());
    if (route.isEmpty()) {
      refuse(request, exchange, retryableUnlessCurrent(Refusal.noRoute()));
      return;
    }
    admit(request, exchange, current, route.get());
  }

  private void admit(
      CallerRequest request, CallerExchange exchange, RoutingConfig current, Route route) {
    boolean needsKey = current.requiresKeys() && !route.isPublic();
    Optional<Workspace> workspace = headerCodec.key(request.headers()).flatMap(current::workspace);
    if (needsKey && !config.allowsKeys(storeNowMillis())) {
      refuse(request, exchange, Refusal.notRun(CONFIG_OUTDATED));
      return;
    }
    if (needsKey && workspace.isEmpty()) {
      refuse(request, exchange, retryableUnlessCurrent(Refusal.unknownKey()));
      return;
    }
    if (!admissionCheck.test(longestMillis(request, route))) {
      refuse(request, exchange, Refusal.instanceStopping());
      return;
    }
    Consumer<Optional<ResumedStream>> start =
        resumed ->
            new RequestExecution(
                    this,
                    request,
                    exchange,
                    route,
                    needsKey ? workspace : Optional.empty(),
                    resumed)
                .start();
    Optional<TakenUpStream> stream =
        route.isResumable() ? headerCodec.takenUpStream(request.headers()) : Optional.empty();
    if (stream.isEmpty()) {
      start.accept(Optional.empty());
    } else {
      new StreamTakeUp(this, route, request, exchange, start).find(stream.get().id());
    }
  }

  /**
   * Returns the longest time, in milliseconds, that a request may last: the smaller of the caller's
   * deadline and the timeout of the route.
   */
  long longestMillis(CallerRequest request, Route route) {
    long limit = headerCodec.timeLeftMillis(request.headers()).orElse(Long.MAX_VALUE);
    return Math.min(limit, route.timeoutMillis());
  }

  /**
   * Returns the refusal for a missing route or key if the configuration is certainly current.
   * Otherwise the route or key may exist in a newer configuration, so the refusal is retryable.
   */
  private Refusal retryableUnlessCurrent(Refusal refusal) {
    return config.isCurrent(storeNowMillis())
        ? refusal
        : Refusal.notRun(refusal.reason() + " in a configuration that may be outdated");
  }

  /** Responds to a request that is not executed, and releases its body. */
  void refuse(CallerRequest request, CallerExchange exchange, Refusal refusal) {
    request.body().release();
    respond(headerCodec.requestId(request.headers()), exchange, refusal);
  }

  /** Sends a response that the router generates itself, and logs its reason. */
  void respond(String requestId, CallerExchange exchange, Refusal refusal) {
    refusalSender.send(requestId, exchange, refusal);
  }

  /** Records a request that is being executed, until {@link #executionEnded}. */
  void executionStarted(RequestExecution execution) {
    executions.add(execution);
  }

  void executionEnded(RequestExecution execution) {
    executions.remove(execution);
  }

  /** Ends all requests because the instance stops; each caller is told what is known of its own. */
  public void endAll() {
    waiting.resumeAll();
    ImmutableList.copyOf(executions).forEach(RequestExecution::endForStop);
  }

  void runLater(Runnable task, long delayMillis) {
    var unused = loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  RetryBudgets retryBudgets() {
    return retryBudgets;
  }

  EventLoop loop() {
    return runtime.loop();
  }

  long nowMillis() {
    return runtime.clockMillis().getAsLong();
  }

  private long storeNowMillis() {
    return runtime.storeClockMillis().getAsLong();
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  SurvivalCheck survivalCheck() {
    return survivalCheck;
  }

  HeldBytes heldBytes() {
    return heldBytes;
  }

  DispatchSettings settings() {
    return settings;
  }

  DispatchObserver observer() {
    return observer;
  }

  RandomGenerator random() {
    return runtime.random();
  }

  Upstreams upstreams() {
    return upstreams;
  }
}
