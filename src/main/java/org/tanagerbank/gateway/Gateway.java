package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.tanagerbank.caller.CallerHandler;
import org.tanagerbank.caller.CallerServer;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.dispatch.DispatchRuntime;
import org.tanagerbank.dispatch.Dispatcher;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.peer.PeerAddress;
import org.tanagerbank.peer.PeerService;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.store.FleetStore;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.TopicFollower;
import org.tanagerbank.upstream.Connector;
import org.tanagerbank.upstream.EngineInspector;
import org.tanagerbank.upstream.HeaderCodec;

/**
 * An instance that accepts requests of callers and sends them directly to upstreams.
 *
 * <p>One event loop does all the work. {@link #start}, {@link #drain} and {@link #stop} are called
 * from other threads, in this order.
 */
public final class Gateway implements Lifecycle {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Least interval between reads of the configuration topic. It bounds the calls to the store while
   * many configurations are written.
   */
  private static final long MIN_CONFIG_READ_INTERVAL_MILLIS = 100;

  /**
   * Fraction of the time within which what the operator writes must be obeyed that a read waits for
   * a new record. A read that returns nothing proves that the current configuration is the newest.
   * Twice this wait must not exceed the adoption time, or the configuration would count as possibly
   * outdated.
   */
  private static final double CONFIG_READ_WAIT_FRACTION = 0.5;

  /** Fraction of the upstream drain time between two reads that return reports. */
  private static final double UPSTREAM_READ_INTERVAL_FRACTION = 0.2;

  /**
   * Fraction of the upstream drain time that a read waits. The age of the records that other
   * instances relay adds to this delay.
   */
  private static final double UPSTREAM_READ_WAIT_FRACTION = 0.5;

  /** Name of the store topic in which instances find each other. */
  private static final String PEER_TOPIC = "gateways";

  /** Name of the store topic that keeps requests which crash upstreams. */
  private static final String SUSPECT_TOPIC = "suspects";

  /** Names of the topics whose records instances relay to each other. */
  private static final String CONFIG_TOPIC = "configuration";

  private static final String UPSTREAM_TOPIC = "upstreams";
  private static final String ADOPTED_CONFIG_TOPIC = "adopted-configuration";

  /** The time that the store gets to deliver a configuration that other instances use already. */
  private static final long CONFIG_LAG_MILLIS = 500;

  /** Interval of the periodic updates of upstreams, connections and readiness. */
  private static final long TICK_INTERVAL_MILLIS = 250;

  private final GatewaySettings settings;
  private final LongSupplier clockMillis = () -> System.nanoTime() / NANOS_PER_MILLI;
  private final LongSupplier storeClockMillis =
      new SuspendAwareClock(clockMillis, System::currentTimeMillis);
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final ConfigState configState;
  private final Dispatcher dispatcher;
  private final UpstreamTopicListener upstreamListener;
  private final PeerService peers;
  private final CacheStateTransfer cacheTransfer;
  private final SuspectStore suspectStore;
  private final ConfigHandover configHandover;
  private final TopicFollower configFollower;
  private final TopicFollower upstreamFollower;
  private final ReadinessCheck readiness;
  private final CallerServer callerServer;
  private final CallerServer readinessServer;
  private final Optional<CallerServer> metricsServer;
  private volatile boolean isDraining;
  private boolean isAwaitingOthers;

  private Gateway(
      GatewaySettings settings,
      HeaderCodec headerCodec,
      EngineInspector inspector,
      Function<EventLoop, FleetStore> storeFactory) {
    this.settings = settings;
    configState = new ConfigState(settings.keyRevocationMillis(), settings.configAdoptionMillis());
    dispatcher =
        Dispatcher.create(createRuntime(), headerCodec, configState, settings.dispatch(), metrics);
    FleetStore store = storeFactory.apply(loop);
    PeerAddress self =
        new PeerAddress(settings.instanceId(), settings.peerAddress(), System.currentTimeMillis());
    peers = createPeerService(store, self);
    upstreamListener =
        new UpstreamTopicListener(
            store, configState::config, dispatcher, clockMillis, this::onStoreCurrent);
    suspectStore = createSuspectStore(store);
    ConfigTopicListener configListener = createConfigListener(store);
    configHandover =
        new ConfigHandover(peers.relay(ADOPTED_CONFIG_TOPIC), configListener::adoptIfNewer);
    configFollower = createConfigFollower(store, configListener);
    upstreamFollower = createUpstreamFollower(store);
    dispatcher.setConfigRefresh(this::refreshConfig);
    dispatcher.setUpstreamsRefresh(upstreamFollower::refresh);
    dispatcher
        .upstreamVersions()
        .setReader(new VersionReader(store, settings.upstreamReportMillis())::read);
    peers.serve(CONFIG_TOPIC, configFollower);
    peers.serve(UPSTREAM_TOPIC, upstreamFollower);
    peers.serve(ADOPTED_CONFIG_TOPIC, configHandover);
    dispatcher.setPlacementListener(peers::addPlacement);
    dispatcher.crashGuard().setUrgentNewsAction(peers::sendUrgently);
    cacheTransfer =
        new CacheStateTransfer(
            loop,
            dispatcher.sharedUpstreamState(),
            peers,
            inspector,
            self,
            settings.cacheWaitMillis());
    peers.setPeerStartedAction(cacheTransfer::onPeerStarted);
    peers.setPeersReadAction(this::onPeersRead);
    callerServer = createServer(settings.callerAddress(), dispatcher, Gateway::logRejectedRequest);
    readiness =
        new ReadinessCheck(
            settings.instanceId(),
            settings.keyRevocationMillis(),
            configState,
            storeClockMillis,
            upstreamListener::hasSnapshot,
            () -> isDraining);
    readinessServer = createServer(settings.readinessAddress(), readiness, status -> {});
    metricsServer = settings.metricsAddress().map(a -> createServer(a, metrics, status -> {}));
    store.setRestoredAction(this::onStoreRestored);
    metrics.addStoreGauges(configState, configFollower, storeClockMillis);
    metrics.addPeerGauges(peers);
    metrics.addDispatchGauges(dispatcher, callerServer::requestsInFlight);
  }

  private DispatchRuntime createRuntime() {
    return new DispatchRuntime(
        loop,
        Connector.tcp(loop),
        clockMillis,
        storeClockMillis,
        System::currentTimeMillis,
        new SplittableRandom());
  }

  private ImmutableSet<String> liveInstanceIds() {
    return Stream.concat(
            Stream.of(settings.instanceId()),
            peers.livePeers().stream().map(PeerAddress::instanceId))
        .collect(ImmutableSet.toImmutableSet());
  }

  private PeerService createPeerService(FleetStore store, PeerAddress self) {
    return PeerService.create(
        loop,
        clockMillis,
        self,
        store.fleetTopic(PEER_TOPIC),
        dispatcher.sharedUpstreamState(),
        dispatcher.sharedUpstreamState(),
        dispatcher.streamOrigins());
  }

  private ConfigTopicListener createConfigListener(FleetStore store) {
    return new ConfigTopicListener(
        store,
        configState,
        dispatcher.sharedUpstreamState().evacuatedZones(),
        () -> configFollower.position().orElseThrow(),
        this::onConfigAdopted,
        this::onStoreCurrent);
  }

  private void onConfigAdopted(KeyedRecord keyed, RoutingConfig config) {
    configHandover.recordAdopted(keyed, config.version());
    upstreamListener.updateDispatcher();
  }

  /** Reads the configuration again, and asks the others if the store doesn't have it. */
  private void refreshConfig() {
    configFollower.refresh();
    if (configState.isBehindFor(CONFIG_LAG_MILLIS, storeClockMillis.getAsLong())) {
      configHandover.request(configState.newestVersionOfOthers());
    }
  }

  private void onPeersRead() {
    if (peers.knownPeers().isEmpty()) {
      configState.recordAlone();
    }
    cacheTransfer.onPeersKnown();
  }

  private TopicFollower createConfigFollower(FleetStore store, ConfigTopicListener listener) {
    return TopicFollower.create(
        store.configTopic(),
        peers.relay(CONFIG_TOPIC),
        listener,
        this::schedule,
        storeClockMillis,
        MIN_CONFIG_READ_INTERVAL_MILLIS,
        (long) (settings.operatorTopicMillis() * CONFIG_READ_WAIT_FRACTION));
  }

  private TopicFollower createUpstreamFollower(FleetStore store) {
    return TopicFollower.create(
        store.upstreamTopic(),
        peers.relay(UPSTREAM_TOPIC),
        upstreamListener,
        this::schedule,
        clockMillis,
        (long) (settings.upstreamDrainMillis() * UPSTREAM_READ_INTERVAL_FRACTION),
        (long) (settings.upstreamDrainMillis() * UPSTREAM_READ_WAIT_FRACTION));
  }

  private SuspectStore createSuspectStore(FleetStore store) {
    return new SuspectStore(
        store.fleetTopic(SUSPECT_TOPIC),
        dispatcher.crashGuard(),
        settings.instanceId(),
        this::liveInstanceIds,
        System::currentTimeMillis);
  }

  private CallerServer createServer(
      InetSocketAddress address, CallerHandler handler, IntConsumer onRejected) {
    return CallerServer.create(
        group, address, configState::limits, handler, onRejected, clockMillis);
  }

  private static void logRejectedRequest(int status) {
    EventLog.emit(LogEvent.REQUEST_REJECTED, "status", status, "reason", "unreadable request");
  }

  /** Returns a gateway that serves callers after {@link #start}. */
  public static Gateway create(
      GatewaySettings settings,
      HeaderCodec headerCodec,
      EngineInspector inspector,
      Function<EventLoop, FleetStore> storeFactory) {
    return new Gateway(settings, headerCodec, inspector, storeFactory);
  }

  @Override
  public void start() {
    readinessServer.start();
    metricsServer.ifPresent(CallerServer::start);
    callerServer.start();
    if (!settings.isFirstStart()) {
      loop.execute(configState::awaitOthers);
    }
    peers.start();
    loop.execute(configFollower::start);
    loop.execute(upstreamFollower::start);
    if (!settings.isFirstStart()) {
      loop.execute(this::learnEngineCaches);
    }
    var unused =
        loop.scheduleWithFixedDelay(
            this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    EventLog.emit(
        LogEvent.PROCESS_STARTED,
        "instance",
        settings.instanceId(),
        "callers",
        settings.callerAddress());
  }

  private void learnEngineCaches() {
    dispatcher.recordRestart();
    cacheTransfer.collectAfterRestart(dispatcher::onCacheContentsLoaded);
  }

  private void onStoreCurrent() {
    configFollower.retryNow();
    upstreamFollower.retryNow();
    peers.retryStoreCall();
    if (!settings.isFirstStart()) {
      suspectStore.load();
    }
    dispatcher.onConfigConfirmed();
    if (configState.config().isPresent() && upstreamListener.hasSnapshot()) {
      cacheTransfer.onEnginesKnown();
    }
  }

  private void onStoreRestored(long era) {
    EventLog.emit(
        LogEvent.STORE_RESTORED,
        "era",
        era,
        "configVersion",
        configState.config().map(RoutingConfig::version).orElse(0L));
    configFollower.onStoreRestored(era);
    upstreamFollower.onStoreRestored(era);
    peers.onStoreRestored();
    suspectStore.onStoreRestored();
  }

  private void schedule(Runnable task, long delayMillis) {
    var unused = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    upstreamListener.updateDispatcher();
    dispatcher.sharedUpstreamState().evacuatedZones().tick();
    dispatcher.tick();
    suspectStore.saveChanges();
    readiness.logChange();
    resumeAfterWaitForOthers();
  }

  /** Resumes the requests that came while this instance waited for others after a restart. */
  private void resumeAfterWaitForOthers() {
    boolean wasAwaiting = isAwaitingOthers;
    isAwaitingOthers = configState.isAwaitingOthers(storeClockMillis.getAsLong());
    if (wasAwaiting && !isAwaitingOthers) {
      dispatcher.onConfigConfirmed();
    }
  }

  /**
   * Stops accepting new work and waits for the requests in flight, up to the end of the grace time.
   *
   * @param millisSinceRequest the part of the grace time that passed before this call, for example
   *     because the stop was requested during {@link #start}
   * @throws InterruptedException if interrupted while waiting
   */
  public void drain(long millisSinceRequest) throws InterruptedException {
    EventLog.emit(LogEvent.PROCESS_STOPPING, "instance", settings.instanceId());
    isDraining = true;
    long graceMillis = settings.graceMillis() - millisSinceRequest;
    DrainPlan plan = DrainPlan.startingAt(clockMillis.getAsLong(), graceMillis);
    new PlannedStop(plan, loop, clockMillis, callerServer, dispatcher).run();
  }

  @Override
  public void stop() {
    loop.execute(configFollower::stop);
    loop.execute(upstreamFollower::stop);
    callerServer.stop();
    peers.stop();
    readinessServer.stop();
    metricsServer.ifPresent(CallerServer::stop);
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    EventLog.emit(LogEvent.PROCESS_STOPPED, "instance", settings.instanceId());
  }
}
