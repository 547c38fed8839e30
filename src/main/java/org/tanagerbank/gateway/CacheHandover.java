package org.tanagerbank.gateway;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.tanagerbank.direct.EngineInspector;
import org.tanagerbank.dispatch.FleetKnowledge;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.peer.CachedParts;
import org.tanagerbank.peer.PeerAddress;
import org.tanagerbank.peer.PeerService;
import org.tanagerbank.routing.Rendezvous;

/**
 * Gives an instance that has just started the knowledge of what engines keep.
 *
 * <p>Instances that run longer share the engines among themselves and tell the new one. The new one
 * also asks engines itself, as all instances may have restarted at once: each asks all engines when
 * these are few, and otherwise a share of them and tells the others. Confined to the event loop.
 */
final class CacheHandover {
  /** Instances that start within this time of each other know equally little. */
  private static final long SAME_START_MILLIS = 2_000;

  /** Time to hear what other instances have asked before the engines left out are asked. */
  private static final long COMPLETE_AFTER_MILLIS = 300;

  /** Bounds the questions of a fleet that has restarted; each takes some time of an engine. */
  private static final int MAX_QUESTIONS = 80;

  private final EventLoop loop;
  private final FleetKnowledge knowledge;
  private final PeerService peers;
  private final EngineInspector inspector;
  private final PeerAddress self;
  private final long waitMillis;
  private final Set<String> unanswered = new HashSet<>();
  private Runnable whenKnown = () -> {};
  private boolean restarted;
  private boolean enginesKnown;
  private boolean peersKnown;
  private boolean asked;

  /**
   * Creates the handover of an instance.
   *
   * @param waitMillis how long requests wait for the answers of engines after a restart
   */
  CacheHandover(
      EventLoop loop,
      FleetKnowledge knowledge,
      PeerService peers,
      EngineInspector inspector,
      PeerAddress self,
      long waitMillis) {
    this.waitMillis = waitMillis;
    this.loop = loop;
    this.knowledge = knowledge;
    this.peers = peers;
    this.inspector = inspector;
    this.self = self;
  }

  /** Returns the engines that one of several instances answers for. */
  static ImmutableList<String> share(
      Collection<String> engineIds, String instanceId, ImmutableSet<String> instanceIds) {
    return share(engineIds, instanceId, instanceIds, 1);
  }

  private static ImmutableList<String> share(
      Collection<String> engineIds,
      String instanceId,
      ImmutableSet<String> instanceIds,
      int instancesPerEngine) {
    return engineIds.stream()
        .filter(e -> Rendezvous.choose(e, instanceIds, instancesPerEngine).contains(instanceId))
        .collect(toImmutableList());
  }

  /** Returns how many instances ask the same engine after they have all restarted. */
  static int instancesPerEngine(int engines) {
    return Math.max(1, MAX_QUESTIONS / Math.max(1, engines));
  }

  /** Tells an instance that has just started what this one answers for. */
  void peerStarted(PeerAddress started) {
    if (!isOlder(self, started)) {
      return;
    }
    ImmutableSet<String> older = instances(peers.live().stream().filter(p -> isOlder(p, started)));
    ImmutableList<CachedParts> caches =
        share(knowledge.engineIds(), self.instanceId(), older).stream()
            .map(e -> new CachedParts(e, knowledge.cachedParts(e)))
            .filter(c -> !c.parts().isEmpty())
            .collect(toImmutableList());
    peers.sendCaches(ImmutableList.of(started), caches);
    EventLog.emit(LogEvent.CACHES_TOLD, "peer", started.instanceId(), "engines", caches.size());
  }

  private static boolean isOlder(PeerAddress one, PeerAddress other) {
    return other.incarnation() - one.incarnation() >= SAME_START_MILLIS;
  }

  private ImmutableSet<String> instances(Stream<PeerAddress> others) {
    return Stream.concat(others.map(PeerAddress::instanceId), Stream.of(self.instanceId()))
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Begins to learn what engines keep after a restart.
   *
   * @param action run once, when the engines have answered or after a time
   */
  void restarted(Runnable action) {
    restarted = true;
    whenKnown = action;
    var unused = loop.schedule(this::complete, COMPLETE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
    askEngines();
  }

  /** Notes that the engines of the deployment are known. */
  void enginesKnown() {
    if (!enginesKnown) {
      enginesKnown = true;
      var unused = loop.schedule(this::endWait, waitMillis, TimeUnit.MILLISECONDS);
      askEngines();
    }
  }

  /** Notes that the other instances of the fleet are known. */
  void peersKnown() {
    peersKnown = true;
    askEngines();
  }

  private void askEngines() {
    if (!restarted || !enginesKnown || !peersKnown || asked) {
      return;
    }
    asked = true;
    ImmutableSet<String> all = instances(peers.known().stream());
    int askers = instancesPerEngine(knowledge.engineIds().size());
    ImmutableList<PeerAddress> told = askers < all.size() ? peers.known() : ImmutableList.of();
    ImmutableList<String> engines = share(knowledge.engineIds(), self.instanceId(), all, askers);
    askAll(engines, told);
    endWaitIfAnswered();
  }

  private void askAll(ImmutableList<String> engines, ImmutableList<PeerAddress> told) {
    unanswered.addAll(engines);
    engines.forEach(e -> ask(e, told));
  }

  private void endWaitIfAnswered() {
    if (unanswered.isEmpty()) {
      endWait();
    }
  }

  private void endWait() {
    Runnable action = whenKnown;
    whenKnown = () -> {};
    action.run();
  }

  /** Asks the engines of which nobody told, unless an instance that has run longer will tell. */
  private void complete() {
    boolean othersKnow = peers.live().stream().anyMatch(p -> isOlder(p, self));
    if (othersKnow) {
      return;
    }
    ImmutableSet<String> all = instances(peers.live().stream());
    askAll(
        share(knowledge.engineIds(), self.instanceId(), all).stream()
            .filter(e -> !unanswered.contains(e) && knowledge.cachedParts(e).isEmpty())
            .collect(toImmutableList()),
        peers.live());
  }

  private void ask(String engine, ImmutableList<PeerAddress> told) {
    knowledge
        .connections(engine)
        .ifPresent(c -> inspector.cachedParts(loop, c, parts -> take(engine, parts, told)));
  }

  private void take(
      String engine, Optional<ImmutableList<PromptPart>> parts, ImmutableList<PeerAddress> told) {
    EventLog.emit(
        LogEvent.ENGINE_INSPECTED,
        "upstream",
        engine,
        "parts",
        parts.map(ImmutableList::size).orElse(-1));
    if (parts.isPresent()) {
      CachedParts cache = new CachedParts(engine, parts.get());
      knowledge.peerCaches(cache);
      peers.sendCaches(told, ImmutableList.of(cache));
    }
    unanswered.remove(engine);
    endWaitIfAnswered();
  }
}
