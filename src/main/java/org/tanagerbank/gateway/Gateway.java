package org.tanagerbank.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerHandler;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.caller.CallerServer;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.direct.Dialect;
import org.tanagerbank.direct.EngineInspector;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.dispatch.Dispatcher;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.feed.FleetStore;
import org.tanagerbank.feed.Scheduler;
import org.tanagerbank.feed.TopicFollower;
import org.tanagerbank.peer.PeerAddress;
import org.tanagerbank.peer.PeerService;
import org.tanagerbank.route.RoutingConfig;

/**
 * An instance that serves callers and sends their requests directly to upstreams.
 *
 * <p>All work is done by one event loop. {@link #start}, {@link #drain} and {@link #stop} are
 * called from other threads, in this order.
 */
public final class Gateway implements Lifecycle {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_READY = 503;

  /** A new configuration is looked for no more often, which bounds calls while many are written. */
  private static final long CONFIG_PACE_MILLIS = 100;

  /**
   * The share of the time for a new configuration that a read waits for one. A read that waits in
   * vain proves that the configuration is the newest; twice as long must not make it doubtful.
   */
  private static final double CONFIG_WAIT_SHARE = 0.5;

  /** The share of the time for a leaving upstream that passes between reads that bring reports. */
  private static final double UPSTREAM_PACE_SHARE = 0.2;

  /** The share of that time that a read waits; other instances' knowledge adds to it. */
  private static final double UPSTREAM_WAIT_SHARE = 0.5;

  /** The share of the time for a revoked key after which callers are better served elsewhere. */
  private static final double READY_AGE_SHARE = 0.6;

  private static final String PEER_TOPIC = "gateways";

  /** What instances call the topics that they read for each other. */
  private static final String CONFIG_TOPIC = "configuration";

  private static final String UPSTREAM_TOPIC = "upstreams";
  private static final long TICK_MILLIS = 250;

  private final GatewaySettings settings;
  private final LongSupplier clockMillis = () -> System.nanoTime() / NANOS_PER_MILLI;
  private final LongSupplier storeClockMillis =
      new SuspendAwareClock(clockMillis, System::currentTimeMillis);
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final ConfigState config;
  private final Dispatcher dispatcher;
  private final UpstreamFeed upstreamFeed;
  private final PeerService peers;
  private final CacheHandover handover;
  private final TopicFollower configFollower;
  private final TopicFollower upstreamFollower;
  private final CallerServer callers;
  private final CallerServer readiness;
  private final Optional<CallerServer> metricsServer;
  private volatile boolean draining;
  private boolean wasReady;

  private Gateway(
      GatewaySettings settings,
      Dialect dialect,
      EngineInspector inspector,
      Function<EventLoop, FleetStore> storeFactory) {
    this.settings = settings;
    config = new ConfigState(settings.revokeMillis(), settings.configMillis());
    dispatcher =
        Dispatcher.create(
            loop,
            clockMillis,
            storeClockMillis,
            dialect,
            config,
            settings.dispatch(),
            new SplittableRandom(),
            metrics);
    FleetStore store = storeFactory.apply(loop);
    PeerAddress self =
        new PeerAddress(settings.instanceId(), settings.peerAddress(), System.currentTimeMillis());
    peers = peerService(store, self);
    upstreamFeed = new UpstreamFeed(store, dispatcher, clockMillis, this::storeIsCurrent);
    Scheduler scheduler = this::schedule;
    configFollower =
        TopicFollower.create(
            store.configTopic(),
            peers.relay(CONFIG_TOPIC),
            new ConfigFeed(store, config, upstreamFeed::apply, this::storeIsCurrent),
            scheduler,
            storeClockMillis,
            CONFIG_PACE_MILLIS,
            (long) (settings.configMillis() * CONFIG_WAIT_SHARE));
    upstreamFollower =
        TopicFollower.create(
            store.upstreamTopic(),
            peers.relay(UPSTREAM_TOPIC),
            upstreamFeed,
            scheduler,
            clockMillis,
            (long) (settings.drainMillis() * UPSTREAM_PACE_SHARE),
            (long) (settings.drainMillis() * UPSTREAM_WAIT_SHARE));
    dispatcher.onDoubt(configFollower::refresh);
    peers.serve(CONFIG_TOPIC, configFollower::known);
    peers.serve(UPSTREAM_TOPIC, upstreamFollower::known);
    dispatcher.onPlaced(peers::placed);
    handover =
        new CacheHandover(
            loop, dispatcher.knowledge(), peers, inspector, self, settings.cacheWaitMillis());
    peers.onStarted(handover::peerStarted);
    peers.onListed(handover::peersKnown);
    callers = server(settings.callerAddress(), dispatcher, Gateway::noteRejected);
    readiness = server(settings.readyAddress(), this::answerReadiness, status -> {});
    metricsServer =
        settings.metricsAddress().map(a -> server(a, this::answerMetrics, status -> {}));
    addGauges();
  }

  private void addGauges() {
    metrics.gauge(
        "config_age_seconds",
        "Time since the configuration was last known to be the newest.",
        () -> config.ageMillis(storeClockMillis.getAsLong()) / 1_000.0);
    metrics.gauge(
        "config_version",
        "Version of the configuration in force.",
        () -> config.config().map(RoutingConfig::version).orElse(0L));
    metrics.gauge("peers", "Other gateways that are heard of.", () -> peers.live().size());
    metrics.gauge(
        "engines",
        "Engines that the gateway knows.",
        () -> dispatcher.knowledge().engineIds().size());
    metrics.gauge("requests_in_flight", "Requests being handled.", callers::handling);
  }

  private PeerService peerService(FleetStore store, PeerAddress self) {
    return PeerService.create(
        loop,
        clockMillis,
        self,
        store.fleetTopic(PEER_TOPIC),
        dispatcher.knowledge(),
        dispatcher.knowledge()::inFlight,
        () -> config.config().map(RoutingConfig::version).orElse(0L));
  }

  private CallerServer server(
      InetSocketAddress address, CallerHandler handler, IntConsumer onRejected) {
    return CallerServer.create(group, address, config::limits, handler, onRejected, clockMillis);
  }

  private static void noteRejected(int status) {
    EventLog.emit(LogEvent.REQUEST_REJECTED, "status", status, "reason", "unreadable request");
  }

  /** Returns a gateway that serves after {@link #start}. */
  public static Gateway create(
      GatewaySettings settings,
      Dialect dialect,
      EngineInspector inspector,
      Function<EventLoop, FleetStore> storeFactory) {
    return new Gateway(settings, dialect, inspector, storeFactory);
  }

  @Override
  public void start() {
    readiness.start();
    metricsServer.ifPresent(CallerServer::start);
    callers.start();
    peers.start();
    loop.execute(configFollower::start);
    loop.execute(upstreamFollower::start);
    if (!settings.firstStart()) {
      loop.execute(this::learnCaches);
    }
    var unused =
        loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    EventLog.emit(
        LogEvent.PROCESS_STARTED,
        "instance",
        settings.instanceId(),
        "callers",
        settings.callerAddress());
  }

  private void learnCaches() {
    dispatcher.awaitCaches();
    handover.restarted(dispatcher::cachesKnown);
  }

  private void storeIsCurrent() {
    configFollower.storeAnswers();
    upstreamFollower.storeAnswers();
    peers.storeAnswers();
    dispatcher.configIsCurrent();
    if (config.config().isPresent() && upstreamFeed.hasSnapshot()) {
      handover.enginesKnown();
    }
  }

  private void schedule(Runnable task, long delayMillis) {
    var unused = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    upstreamFeed.apply();
    dispatcher.closeExpiredConnections();
    noteReadiness(isReady());
  }

  private boolean isReady() {
    return !draining
        && config.config().isPresent()
        && upstreamFeed.hasSnapshot()
        && config.ageMillis(storeClockMillis.getAsLong())
            < settings.revokeMillis() * READY_AGE_SHARE;
  }

  private void noteReadiness(boolean ready) {
    if (ready != wasReady) {
      wasReady = ready;
      EventLog.emit(
          ready ? LogEvent.GATEWAY_READY : LogEvent.GATEWAY_NOT_READY,
          "instance",
          settings.instanceId(),
          "draining",
          draining,
          "configAgeMillis",
          config.ageMillis(storeClockMillis.getAsLong()));
    }
  }

  private void answerReadiness(CallerRequest request, CallerExchange exchange) {
    request.body().release();
    int status = isReady() ? STATUS_OK : STATUS_NOT_READY;
    exchange.respond(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
  }

  private void answerMetrics(CallerRequest request, CallerExchange exchange) {
    request.body().release();
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, GatewayMetrics.CONTENT_TYPE);
    exchange.respond(STATUS_OK, headers, Unpooled.wrappedBuffer(metrics.text()));
  }

  /**
   * Stops taking new work and waits for requests in flight, no longer than the grace time allows.
   *
   * @throws InterruptedException if interrupted while waiting
   */
  public void drain() throws InterruptedException {
    EventLog.emit(LogEvent.PROCESS_STOPPING, "instance", settings.instanceId());
    draining = true;
    DrainPlan plan = DrainPlan.begin(clockMillis.getAsLong(), settings.graceMillis());
    loop.execute(callers::beginDrain);
    loop.execute(
        () -> dispatcher.admitIf(longest -> plan.accepts(clockMillis.getAsLong(), longest)));
    while (true) {
      int handling = loop.submit(callers::handling).syncUninterruptibly().getNow();
      DrainPlan.Step step = plan.next(clockMillis.getAsLong(), handling);
      if (step == DrainPlan.Step.CLOSE_IDLE) {
        loop.execute(callers::closeIdle);
      }
      if (step == DrainPlan.Step.END && (plan.isOver(clockMillis.getAsLong()) || closeCallers())) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(DrainPlan.CHECK_MILLIS);
    }
  }

  private boolean closeCallers() {
    return loop.submit(callers::closeUnlessBusy).syncUninterruptibly().getNow();
  }

  @Override
  public void stop() {
    loop.execute(configFollower::stop);
    loop.execute(upstreamFollower::stop);
    callers.stop();
    peers.stop();
    readiness.stop();
    metricsServer.ifPresent(CallerServer::stop);
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    EventLog.emit(LogEvent.PROCESS_STOPPED, "instance", settings.instanceId());
  }
}
