package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tanagerbank.direct.ConnectionPool;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.peer.CachedParts;
import org.tanagerbank.peer.PeerListener;
import org.tanagerbank.peer.PlacementNote;
import org.tanagerbank.route.RoutingConfig;

/**
 * Adds what other instances tell to what this one knows of the upstreams, and tells what it knows.
 * Confined to the event loop.
 */
public final class FleetKnowledge implements PeerListener {
  private final Upstreams upstreams;
  private final RetryBudgets retryBudgets;
  private final ConfigState config;
  private final LongSupplier clockMillis;
  private final Runnable askStore;

  FleetKnowledge(
      Upstreams upstreams,
      RetryBudgets retryBudgets,
      ConfigState config,
      LongSupplier clockMillis,
      Runnable askStore) {
    this.upstreams = upstreams;
    this.retryBudgets = retryBudgets;
    this.config = config;
    this.clockMillis = clockMillis;
    this.askStore = askStore;
  }

  /** Returns the requests that this instance has at each upstream where it has any. */
  public ImmutableMap<String, Integer> inFlight() {
    return upstreams.inFlight();
  }

  /** Returns the ids of the upstreams that are engines. */
  public ImmutableList<String> engineIds() {
    return upstreams.all().stream()
        .filter(u -> u.engine().isPresent())
        .map(u -> u.upstream().id())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the prompt parts that an engine is believed to keep and several requests share. */
  public ImmutableList<PromptPart> cachedParts(String upstreamId) {
    return engine(upstreamId).map(EngineModel::sharedParts).orElse(ImmutableList.of());
  }

  /** Returns the connections to an upstream. */
  public Optional<ConnectionPool> connections(String upstreamId) {
    return upstreams.find(upstreamId).map(UpstreamHandle::connections);
  }

  private Optional<EngineModel> engine(String upstreamId) {
    return upstreams.find(upstreamId).flatMap(UpstreamHandle::engine);
  }

  @Override
  public void peerWork(String instanceId, ImmutableMap<String, Integer> inFlight) {
    upstreams
        .all()
        .forEach(u -> u.setPeerInFlight(instanceId, inFlight.getOrDefault(u.upstream().id(), 0)));
  }

  @Override
  public void peerPlaced(PlacementNote note) {
    engine(note.upstreamId())
        .ifPresent(e -> e.peerSent(note.prompt(), note.fetchedTokens(), clockMillis.getAsLong()));
  }

  @Override
  public void peerCaches(CachedParts caches) {
    engine(caches.upstreamId()).ifPresent(e -> e.restore(caches.parts()));
  }

  @Override
  public void peerConfig(long version) {
    if (config.config().map(RoutingConfig::version).orElse(Long.MAX_VALUE) < version) {
      askStore.run();
    }
  }

  @Override
  public void peerLost(String instanceId) {
    upstreams.all().forEach(u -> u.setPeerInFlight(instanceId, 0));
  }

  @Override
  public void fleetSize(int instances) {
    retryBudgets.setFleetSize(instances);
  }
}
