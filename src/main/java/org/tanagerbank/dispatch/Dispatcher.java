package org.tanagerbank.dispatch;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerHandler;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.direct.Dialect;
import org.tanagerbank.direct.DirectUpstream;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Workspace;
import org.tanagerbank.routing.RetryBudget;

/**
 * Decides what happens to each request of a caller: which route it takes, whether its key allows
 * it, and then starts its run. Confined to the event loop.
 */
public final class Dispatcher implements CallerHandler {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** The store answers within milliseconds unless it is slow or away. */
  private static final long STORE_ANSWER_MILLIS = 60;

  /** Bounds the requests that wait for the store at once. */
  private static final int MAX_WAITING = 200;

  private static final String OUTDATED = "keys cannot be checked: configuration too old";

  /** A request that waits for the store; compared by identity. */
  private static final class Waiting {
    private final Runnable proceed;

    private Waiting(Runnable proceed) {
      this.proceed = proceed;
    }
  }

  private final EventLoop loop;
  private final LongSupplier clockMillis;
  private final LongSupplier storeClockMillis;
  private final Dialect dialect;
  private final ConfigState config;
  private final DispatchSettings settings;
  private final RandomGenerator random;
  private final DispatchObserver observer;
  private final Upstreams upstreams;
  private final RetryBudgets retryBudgets;
  private final FleetKnowledge knowledge;
  private final Set<Waiting> waiting = new LinkedHashSet<>();
  private Runnable askStore = () -> {};
  private PlacementListener onPlaced = (upstream, prompt, fetchedTokens) -> {};
  private boolean upstreamsKnown;
  private boolean awaitsCaches;
  private LongPredicate admits = longest -> true;

  private Dispatcher(
      EventLoop loop,
      LongSupplier clockMillis,
      LongSupplier storeClockMillis,
      Dialect dialect,
      ConfigState config,
      DispatchSettings settings,
      RandomGenerator random,
      DispatchObserver observer) {
    this.loop = loop;
    this.clockMillis = clockMillis;
    this.storeClockMillis = storeClockMillis;
    this.dialect = dialect;
    this.config = config;
    this.settings = settings;
    this.random = random;
    this.observer = observer;
    this.upstreams = new Upstreams(loop, clockMillis);
    this.retryBudgets = new RetryBudgets(settings);
    this.knowledge =
        new FleetKnowledge(upstreams, retryBudgets, config, clockMillis, () -> askStore.run());
  }

  /**
   * Returns a dispatcher that knows no upstreams yet.
   *
   * @param clockMillis the steady clock
   * @param storeClockMillis the clock by which the age of the configuration is judged
   */
  public static Dispatcher create(
      EventLoop loop,
      LongSupplier clockMillis,
      LongSupplier storeClockMillis,
      Dialect dialect,
      ConfigState config,
      DispatchSettings settings,
      RandomGenerator random,
      DispatchObserver observer) {
    return new Dispatcher(
        loop, clockMillis, storeClockMillis, dialect, config, settings, random, observer);
  }

  /** Takes over the upstreams that exist now. */
  public void updateUpstreams(Collection<DirectUpstream> reports) {
    upstreams.update(reports, config.config());
    if (!upstreamsKnown) {
      upstreamsKnown = true;
      configIsCurrent();
    }
  }

  /** Lets requests wait until {@link #cachesKnown}, because engines keep what they need. */
  public void awaitCaches() {
    awaitsCaches = true;
  }

  /** Goes on with the requests that waited to know what engines keep. */
  public void cachesKnown() {
    awaitsCaches = false;
    configIsCurrent();
  }

  /** Sets what decides whether a request that may last for some milliseconds is still taken. */
  public void admitIf(LongPredicate predicate) {
    admits = predicate;
  }

  /** Sets what is told of each request that is sent to an engine. */
  public void onPlaced(PlacementListener action) {
    onPlaced = action;
  }

  /** Returns what this instance and its peers know of the upstreams. */
  public FleetKnowledge knowledge() {
    return knowledge;
  }

  void placed(Choice choice, Prompt prompt) {
    onPlaced.placed(choice.upstream().upstream().id(), prompt, choice.fetchedTokens());
  }

  /** Closes idle connections to upstreams that would soon close them. */
  public void closeExpiredConnections() {
    upstreams.closeExpired();
  }

  /** Sets what asks the store whether the configuration is still the newest. */
  public void onDoubt(Runnable refresh) {
    askStore = refresh;
  }

  /** Goes on with the requests that waited for the store to answer. */
  public void configIsCurrent() {
    if (!isStarted()) {
      return;
    }
    List<Waiting> ready = new ArrayList<>(waiting);
    waiting.clear();
    ready.forEach(w -> w.proceed.run());
  }

  @Override
  public void handle(CallerRequest request, CallerExchange exchange) {
    if (!isStarted()) {
      waitForStore(request, exchange, settings.startWaitMillis());
    } else if (config.allowsKeys(storeClockMillis.getAsLong())) {
      route(request, exchange);
    } else {
      // As after a pause of this process: the store may only have to be asked again.
      waitForStore(request, exchange, STORE_ANSWER_MILLIS);
      askStore.run();
    }
  }

  private boolean isStarted() {
    return upstreamsKnown && !awaitsCaches && config.config().isPresent();
  }

  /** Goes on with a request when the store has answered, or after a time. */
  private void waitForStore(CallerRequest request, CallerExchange exchange, long limitMillis) {
    if (waiting.size() >= MAX_WAITING) {
      refuse(request, exchange, Refusal.notRun(OUTDATED));
      return;
    }
    Waiting entry = new Waiting(() -> route(request, exchange));
    waiting.add(entry);
    exchange.onGone(
        () -> {
          if (waiting.remove(entry)) {
            request.body().release();
          }
        });
    var unused =
        loop.schedule(
            () -> {
              if (waiting.remove(entry)) {
                route(request, exchange);
              }
            },
            limitMillis,
            TimeUnit.MILLISECONDS);
  }

  private void route(CallerRequest request, CallerExchange exchange) {
    if (config.config().isEmpty()) {
      refuse(request, exchange, Refusal.notRun("no configuration yet"));
      return;
    }
    RoutingConfig known = config.config().get();
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<Route> route = known.routes().find(host, request.target());
    if (route.isEmpty()) {
      refuse(request, exchange, ifCertain(Refusal.noRoute()));
      return;
    }
    admit(request, exchange, known, route.get());
  }

  private void admit(
      CallerRequest request, CallerExchange exchange, RoutingConfig known, Route route) {
    boolean needsKey = known.requiresKeys() && !route.isPublic();
    Optional<Workspace> workspace = dialect.key(request.headers()).flatMap(known::workspace);
    if (needsKey && !config.allowsKeys(storeClockMillis.getAsLong())) {
      refuse(request, exchange, Refusal.notRun(OUTDATED));
      return;
    }
    if (needsKey && workspace.isEmpty()) {
      refuse(request, exchange, ifCertain(Refusal.unknownKey()));
      return;
    }
    if (!admits.test(longestMillis(request, route))) {
      refuse(request, exchange, Refusal.leaving());
      return;
    }
    new RequestRun(this, request, exchange, route, needsKey ? workspace : Optional.empty()).start();
  }

  /** Returns how long a request may be kept waiting for its whole answer. */
  long longestMillis(CallerRequest request, Route route) {
    long limit = dialect.timeLeftMillis(request.headers()).orElse(Long.MAX_VALUE);
    return Math.min(limit, route.timeoutMillis());
  }

  /** A route or key that is missing may only be new when the configuration is not the newest. */
  private Refusal ifCertain(Refusal refusal) {
    return config.isCertain(storeClockMillis.getAsLong())
        ? refusal
        : Refusal.notRun(refusal.reason() + " in a configuration that may be outdated");
  }

  /** Answers a request that is not run, and releases its body. */
  private void refuse(CallerRequest request, CallerExchange exchange, Refusal refusal) {
    request.body().release();
    respond(dialect.requestId(request.headers()), exchange, refusal);
  }

  /** Sends the router's own response. */
  void respond(String requestId, CallerExchange exchange, Refusal refusal) {
    observer.rejected(refusal.status(), refusal.kind());
    EventLog.emit(
        LogEvent.REQUEST_REJECTED,
        "request",
        requestId,
        "status",
        refusal.status(),
        "reason",
        refusal.reason(),
        "configVersion",
        config.config().map(RoutingConfig::version).orElse(0L),
        "configAgeMillis",
        config.ageMillis(storeClockMillis.getAsLong()));
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    if (refusal.retryAfterMillis() > 0) {
      String seconds =
          String.format(Locale.ROOT, "%.3f", refusal.retryAfterMillis() / MILLIS_PER_SECOND);
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    byte[] text = (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8);
    exchange.respond(refusal.status(), headers, Unpooled.wrappedBuffer(text));
  }

  RetryBudget retryBudget(String service) {
    return retryBudgets.budget(service);
  }

  EventLoop loop() {
    return loop;
  }

  long nowMillis() {
    return clockMillis.getAsLong();
  }

  Dialect dialect() {
    return dialect;
  }

  DispatchSettings settings() {
    return settings;
  }

  DispatchObserver observer() {
    return observer;
  }

  RandomGenerator random() {
    return random;
  }

  Upstreams upstreams() {
    return upstreams;
  }
}
