package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.capacity.ProcessCapacity;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.peer.CachedParts;
import org.tanagerbank.peer.DigestSource;
import org.tanagerbank.peer.PeerListener;
import org.tanagerbank.peer.PeerPlacement;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.upstream.UpstreamNotice;

/**
 * Merges the reports of other instances into this instance's state of the upstreams, and provides
 * the state that this instance reports to them. Not thread-safe; confined to the event loop.
 */
public final class SharedUpstreamState implements PeerListener, DigestSource {
  private final Upstreams upstreams;
  private final RetryBudgets retryBudgets;
  private final CrashGuard crashGuard;
  private final ConfigState config;
  private final LongSupplier clockMillis;
  private final LongSupplier storeClockMillis;
  private final Runnable refreshConfig;
  private final EvacuatedZones evacuatedZones;

  SharedUpstreamState(
      Upstreams upstreams,
      RetryBudgets retryBudgets,
      CrashGuard crashGuard,
      ConfigState config,
      LongSupplier clockMillis,
      LongSupplier storeClockMillis,
      Runnable refreshConfig) {
    this.upstreams = upstreams;
    this.retryBudgets = retryBudgets;
    this.crashGuard = crashGuard;
    this.config = config;
    this.clockMillis = clockMillis;
    this.storeClockMillis = storeClockMillis;
    this.refreshConfig = refreshConfig;
    this.evacuatedZones = new EvacuatedZones(upstreams, clockMillis);
  }

  @Override
  public ImmutableMap<String, Integer> inFlight() {
    return upstreams.inFlight();
  }

  @Override
  public long configVersion() {
    return config.config().map(RoutingConfig::version).orElse(0L);
  }

  @Override
  public boolean hasUnsentSuspects() {
    return crashGuard.hasUnsentSuspects();
  }

  @Override
  public ImmutableList<SuspectRecord> nextSuspects() {
    return crashGuard.nextSuspects();
  }

  @Override
  public ImmutableList<CapacityNews> nextCapacities() {
    long now = clockMillis.getAsLong();
    return upstreams.all().stream()
        .map(UpstreamHandle::capacity)
        .filter(ProcessCapacity::hasNews)
        .map(c -> c.takeNews(now))
        .collect(ImmutableList.toImmutableList());
  }

  @Override
  public ImmutableList<CapacityNews> capacityEstimates() {
    long now = clockMillis.getAsLong();
    return upstreams.all().stream()
        .flatMap(u -> u.capacity().estimateNews(now).stream())
        .collect(ImmutableList.toImmutableList());
  }

  @Override
  public void onPeerCapacities(ImmutableList<CapacityNews> capacities) {
    long now = clockMillis.getAsLong();
    ImmutableMap<Integer, CapacityNews> byProcess =
        capacities.stream()
            .collect(ImmutableMap.toImmutableMap(CapacityNews::process, c -> c, (a, b) -> b));
    upstreams.all().stream()
        .map(UpstreamHandle::capacity)
        .filter(c -> byProcess.containsKey(c.process()))
        .forEach(c -> c.merge(byProcess.get(c.process()), now));
  }

  @Override
  public ImmutableList<TrialClaim> trialClaims() {
    return crashGuard.trialClaims();
  }

  /** Returns the ids of the upstreams that are engines. */
  public ImmutableList<String> engineIds() {
    return upstreams.all().stream()
        .filter(u -> u.engine().isPresent())
        .map(u -> u.report().id())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the prompt parts that an engine is expected to have cached and that several requests
   * share. Returns an empty list for an unknown upstream or one that is not an engine.
   */
  public ImmutableList<PromptPart> cachedParts(String upstreamId) {
    return engine(upstreamId).map(EngineModel::sharedParts).orElse(ImmutableList.of());
  }

  /**
   * Returns the permission for one query to an upstream, which counts as a request, or empty for an
   * unknown upstream or one that accepts no requests now.
   */
  public Optional<UpstreamQuery> beginQuery(String upstreamId) {
    return upstreams
        .find(upstreamId)
        .filter(u -> u.acceptsRequests(clockMillis.getAsLong()))
        .map(
            u ->
                new UpstreamQuery(
                    u.connectionsForQuery(clockMillis.getAsLong()),
                    () -> u.takesStartedRequests(clockMillis.getAsLong())));
  }

  /** Returns the zones whose evacuation the operator has ordered. */
  public EvacuatedZones evacuatedZones() {
    return evacuatedZones;
  }

  /** Records what a response to a query says of its upstream; it ends no limit. */
  public void recordNotice(String upstreamId, UpstreamNotice notice) {
    long now = clockMillis.getAsLong();
    upstreams.find(upstreamId).ifPresent(u -> u.recordNotice(notice, now, Long.MIN_VALUE, now));
  }

  /** Returns the number of upstreams that have named a limit on the requests that they take. */
  public int limitedUpstreams() {
    return upstreams.limitedCount();
  }

  /** Returns the number of upstreams that have asked this instance for a pause. */
  public int pausedUpstreams() {
    return upstreams.pausedCount();
  }

  /** Returns the number of upstreams that are cold and whose service bounds what they get. */
  public int coldUpstreams() {
    return upstreams.coldCount();
  }

  /** Returns the longest learned time of a request at an upstream, relative to its service. */
  public double slowestUpstreamRatio() {
    long now = clockMillis.getAsLong();
    return upstreams.all().stream()
        .mapToDouble(u -> u.capacity().relativeTime(now))
        .max()
        .orElse(1);
  }

  /** Returns the number of requests that all upstreams together take well. */
  public double requestsTakenWell() {
    return upstreams.all().stream().mapToDouble(u -> u.capacity().takesWell()).sum();
  }

  private Optional<EngineModel> engine(String upstreamId) {
    return upstreams.find(upstreamId).flatMap(UpstreamHandle::engine);
  }

  @Override
  public void onPeerInFlight(String instanceId, ImmutableMap<String, Integer> inFlight) {
    retryBudgets.recordHeard(instanceId, clockMillis.getAsLong());
    upstreams
        .shares()
        .recordPeer(instanceId, inFlight.values().stream().mapToInt(Integer::intValue).sum());
    upstreams
        .all()
        .forEach(u -> u.setPeerInFlight(instanceId, inFlight.getOrDefault(u.report().id(), 0)));
  }

  @Override
  public void onPeerPlacement(PeerPlacement placement) {
    engine(placement.upstreamId())
        .ifPresent(
            e ->
                e.promptQueued(
                    placement.prompt(), placement.fetchedTokens(), clockMillis.getAsLong()));
  }

  @Override
  public void onPeerCaches(CachedParts caches) {
    engine(caches.upstreamId()).ifPresent(e -> e.addCachedParts(caches.parts()));
  }

  @Override
  public void onPeerSuspects(ImmutableList<SuspectRecord> suspects) {
    crashGuard.mergeSuspects(suspects);
  }

  @Override
  public void onPeerTrialClaims(String instanceId, ImmutableList<TrialClaim> trialClaims) {
    crashGuard.setPeerClaims(instanceId, trialClaims);
  }

  @Override
  public void onPeerConfigVersion(long version) {
    config.recordVersionOfOther(version, storeClockMillis.getAsLong());
    if (config.config().map(RoutingConfig::version).orElse(Long.MAX_VALUE) < version) {
      refreshConfig.run();
    }
  }

  @Override
  public void onPeerLost(String instanceId) {
    upstreams.all().forEach(u -> u.setPeerInFlight(instanceId, 0));
    crashGuard.setPeerClaims(instanceId, ImmutableList.of());
  }

  @Override
  public void onKnownPeersChanged(ImmutableSet<String> instanceIds) {
    retryBudgets.setKnownInstances(instanceIds, clockMillis.getAsLong());
    upstreams.shares().setRegistered(instanceIds);
  }

  @Override
  public void onPeersRead() {
    retryBudgets.recordDirectoryRead(clockMillis.getAsLong());
  }
}
