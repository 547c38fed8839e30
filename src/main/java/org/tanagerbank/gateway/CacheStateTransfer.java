package org.tanagerbank.gateway;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.tanagerbank.dispatch.SharedUpstreamState;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.peer.CachedParts;
import org.tanagerbank.peer.PeerAddress;
import org.tanagerbank.peer.PeerService;
import org.tanagerbank.upstream.EngineInspector;

/**
 * Provides an instance that has just started with the list of prompt parts that engines cache.
 *
 * <p>The older instances divide the engines among themselves, and each sends the new instance what
 * is cached by the engines assigned to it. The new instance also queries engines itself, because
 * all instances may have restarted at once. With few engines each instance queries all of them;
 * with many engines it queries those assigned to it and sends the results to the other instances.
 * Confined to the event loop.
 */
final class CacheStateTransfer {
  /**
   * An instance counts as older only if it started at least this long before the other one. Of
   * instances that start closer together, neither has learned more than the other.
   */
  private static final long MIN_AGE_DIFFERENCE_MILLIS = 2_000;

  /**
   * Delay before engines without a known cache state are queried. It leaves time for the results
   * that other instances have obtained to arrive.
   */
  private static final long REMAINING_QUERY_DELAY_MILLIS = 300;

  /**
   * The time from when the engines are known for which the first queries wait for the registered
   * instances, which cannot be read while the store is unavailable.
   */
  private static final long INSTANCES_WAIT_MILLIS = 200;

  private final EventLoop loop;
  private final SharedUpstreamState sharedUpstreamState;
  private final PeerService peers;
  private final EngineInspector inspector;
  private final PeerAddress self;
  private final long maxRequestWaitMillis;
  private final Set<String> unansweredEngines = new HashSet<>();
  private Runnable onWaitEnded = () -> {};
  private final CacheQueryPlan plan;

  /**
   * Creates the state transfer of one instance.
   *
   * @param waitMillis the longest time that requests wait for the answers of engines after a
   *     restart, counted from when the engines are known
   */
  CacheStateTransfer(
      EventLoop loop,
      SharedUpstreamState sharedUpstreamState,
      PeerService peers,
      EngineInspector inspector,
      PeerAddress self,
      long maxRequestWaitMillis) {
    this.maxRequestWaitMillis = maxRequestWaitMillis;
    this.loop = loop;
    this.sharedUpstreamState = sharedUpstreamState;
    this.peers = peers;
    this.inspector = inspector;
    this.self = self;
    this.plan = new CacheQueryPlan(self.instanceId());
  }

  /**
   * Sends a newly started peer the cached parts of the engines assigned to this instance. Does
   * nothing if this instance is not older than the peer.
   */
  void onPeerStarted(PeerAddress started) {
    if (!isOlder(self, started)) {
      return;
    }
    ImmutableSet<String> olderIds =
        instanceIdsWithSelf(peers.livePeers().stream().filter(p -> isOlder(p, started)));
    ImmutableList<CachedParts> caches =
        CacheQueryPlan.assignedEngines(sharedUpstreamState.engineIds(), self.instanceId(), olderIds)
            .stream()
            .map(e -> new CachedParts(e, sharedUpstreamState.cachedParts(e)))
            .filter(c -> !c.parts().isEmpty())
            .collect(toImmutableList());
    peers.sendCaches(ImmutableList.of(started), caches);
    EventLog.emit(LogEvent.CACHES_TOLD, "peer", started.instanceId(), "engines", caches.size());
  }

  /** Returns whether the first start, whose incarnation is its start time, is clearly earlier. */
  private static boolean isOlder(PeerAddress first, PeerAddress second) {
    return second.incarnation() - first.incarnation() >= MIN_AGE_DIFFERENCE_MILLIS;
  }

  private ImmutableSet<String> instanceIdsWithSelf(Stream<PeerAddress> others) {
    return Stream.concat(others.map(PeerAddress::instanceId), Stream.of(self.instanceId()))
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Starts to collect the cached parts of engines after a restart.
   *
   * @param action run once, when the queried engines have answered or the longest wait is over
   */
  void collectAfterRestart(Runnable action) {
    onWaitEnded = action;
    plan.recordRestart();
    queryEnginesWhenReady();
  }

  /** Records that the engines of the deployment are known. */
  void onEnginesKnown() {
    if (plan.recordEnginesKnown()) {
      runLater(this::endWait, maxRequestWaitMillis);
      runLater(this::onPeersKnown, INSTANCES_WAIT_MILLIS);
      queryEnginesWhenReady();
    }
  }

  /** Records that the other instances of the fleet are known. */
  void onPeersKnown() {
    plan.recordInstancesKnown();
    queryEnginesWhenReady();
  }

  private void queryEnginesWhenReady() {
    if (!plan.mayBegin()) {
      return;
    }
    ImmutableSet<String> all = instanceIdsWithSelf(peers.knownPeers().stream());
    ImmutableSet<String> engineIds = ImmutableSet.copyOf(sharedUpstreamState.engineIds());
    boolean isShared = CacheQueryPlan.instancesPerEngine(engineIds.size()) < all.size();
    ImmutableList<PeerAddress> recipients = isShared ? peers.knownPeers() : ImmutableList.of();
    queryAll(plan.begin(engineIds, all), recipients);
    endWaitIfAllAnswered();
    runLater(this::queryRemainingEngines, REMAINING_QUERY_DELAY_MILLIS);
  }

  private void runLater(Runnable task, long delayMillis) {
    var unused = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void queryAll(ImmutableList<String> engines, ImmutableList<PeerAddress> recipients) {
    unansweredEngines.addAll(engines);
    engines.forEach(e -> query(e, recipients));
  }

  private void endWaitIfAllAnswered() {
    if (unansweredEngines.isEmpty()) {
      endWait();
    }
  }

  private void endWait() {
    Runnable action = onWaitEnded;
    onWaitEnded = () -> {};
    action.run();
  }

  /**
   * Queries the assigned engines whose cache state is still unknown, unless an older instance is
   * live and will send it.
   */
  private void queryRemainingEngines() {
    boolean hasOlderPeer = peers.livePeers().stream().anyMatch(p -> isOlder(p, self));
    if (hasOlderPeer) {
      return;
    }
    ImmutableList<String> unknown =
        sharedUpstreamState.engineIds().stream()
            .filter(e -> sharedUpstreamState.cachedParts(e).isEmpty())
            .collect(toImmutableList());
    ImmutableSet<String> live = instanceIdsWithSelf(peers.livePeers().stream());
    queryAll(plan.queryRemaining(unknown, live), peers.livePeers());
  }

  private void query(String engine, ImmutableList<PeerAddress> recipients) {
    sharedUpstreamState
        .beginQuery(engine)
        .ifPresentOrElse(
            query ->
                inspector.cachedParts(
                    loop,
                    query.connections(),
                    query.maySend(),
                    notice -> sharedUpstreamState.recordNotice(engine, notice),
                    parts -> onAnswer(engine, parts, recipients)),
            () -> unansweredEngines.remove(engine));
  }

  private void onAnswer(
      String engine,
      Optional<ImmutableList<PromptPart>> parts,
      ImmutableList<PeerAddress> recipients) {
    EventLog.emit(
        LogEvent.ENGINE_INSPECTED,
        "upstream",
        engine,
        "parts",
        parts.map(ImmutableList::size).orElse(-1));
    if (parts.isPresent()) {
      CachedParts cache = new CachedParts(engine, parts.get());
      sharedUpstreamState.onPeerCaches(cache);
      peers.sendCaches(recipients, ImmutableList.of(cache));
    }
    unansweredEngines.remove(engine);
    endWaitIfAllAnswered();
  }
}
