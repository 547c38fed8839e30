package org.tanagerbank.gateway;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.Optional;
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
 * <p>Instances that run longer share the engines among themselves and tell the new one. When all
 * have just started, each asks a share of the engines and tells the others. Confined to the event
 * loop.
 */
final class CacheHandover {
  /** Instances that start within this time of each other know equally little. */
  private static final long SAME_START_MILLIS = 2_000;

  /** Time to hear of the other instances and of the engines after a start. */
  private static final long INSPECT_AFTER_MILLIS = 300;

  private final EventLoop loop;
  private final FleetKnowledge knowledge;
  private final PeerService peers;
  private final EngineInspector inspector;
  private final PeerAddress self;

  CacheHandover(
      EventLoop loop,
      FleetKnowledge knowledge,
      PeerService peers,
      EngineInspector inspector,
      PeerAddress self) {
    this.loop = loop;
    this.knowledge = knowledge;
    this.peers = peers;
    this.inspector = inspector;
    this.self = self;
  }

  /** Returns the engines that one of several instances answers for. */
  static ImmutableList<String> share(
      Collection<String> engineIds, String instanceId, ImmutableSet<String> instanceIds) {
    return engineIds.stream()
        .filter(e -> Rendezvous.choose(e, instanceIds).equals(Optional.of(instanceId)))
        .collect(toImmutableList());
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

  /** Asks engines after a restart, unless another instance has run through it. */
  void started() {
    var unused = loop.schedule(this::inspect, INSPECT_AFTER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void inspect() {
    boolean othersKnow = peers.live().stream().anyMatch(p -> isOlder(p, self));
    if (othersKnow) {
      return;
    }
    ImmutableSet<String> all = instances(peers.live().stream());
    for (String engine : share(knowledge.engineIds(), self.instanceId(), all)) {
      knowledge
          .connections(engine)
          .ifPresent(c -> inspector.cachedParts(loop, c, parts -> take(engine, parts)));
    }
  }

  private void take(String engine, Optional<ImmutableList<PromptPart>> parts) {
    EventLog.emit(
        LogEvent.ENGINE_INSPECTED,
        "upstream",
        engine,
        "parts",
        parts.map(ImmutableList::size).orElse(-1));
    if (parts.isPresent()) {
      CachedParts cache = new CachedParts(engine, parts.get());
      knowledge.peerCaches(cache);
      peers.sendCaches(peers.live(), ImmutableList.of(cache));
    }
  }
}
