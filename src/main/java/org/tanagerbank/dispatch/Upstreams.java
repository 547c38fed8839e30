package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multimaps;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.tanagerbank.capacity.ServiceCapacity;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.Connector;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The upstreams to which this instance can send requests, by id. Not thread-safe; confined to the
 * event loop.
 */
final class Upstreams {
  private final Connector connector;
  private final LongSupplier clockMillis;
  private final LongSupplier wallClockMillis;
  private final Map<String, UpstreamHandle> byId = new HashMap<>();
  private final Map<String, ServiceCapacity> capacities = new HashMap<>();
  private final VersionHistory versionHistory = new VersionHistory();
  private final SendShares shares;
  private final RandomGenerator random;
  private Consumer<UpstreamHandle> endListener = ended -> {};

  Upstreams(
      Connector connector,
      LongSupplier clockMillis,
      LongSupplier wallClockMillis,
      RandomGenerator random) {
    this.wallClockMillis = wallClockMillis;
    this.connector = connector;
    this.clockMillis = clockMillis;
    this.random = random;
    this.shares = new SendShares(clockMillis, this::ownInFlight);
  }

  /** Returns an empty list of upstreams. */
  static Upstreams on(DispatchRuntime runtime) {
    return new Upstreams(
        runtime.connector(), runtime.clockMillis(), runtime.wallClockMillis(), runtime.random());
  }

  private int ownInFlight() {
    return byId.values().stream().mapToInt(UpstreamHandle::ownInFlight).sum();
  }

  /** Returns the share of this instance in what upstreams take from all instances together. */
  SendShares shares() {
    return shares;
  }

  /** Sets the listener that is notified of upstreams that restarted or are gone. */
  void setEndListener(Consumer<UpstreamHandle> listener) {
    endListener = listener;
  }

  /**
   * Replaces the list of upstreams. An upstream that restarted or is missing from the list loses
   * its connections and all recorded state.
   *
   * @param reports the latest report of each upstream
   * @param config the configuration, which holds the engine limits of the services
   */
  void update(Collection<UpstreamReport> reports, Optional<RoutingConfig> config) {
    versionHistory.record(reports, clockMillis.getAsLong());
    ImmutableList<UpstreamHandle> before = all();
    Set<String> reportedIds = new HashSet<>();
    for (UpstreamReport report : reports) {
      reportedIds.add(report.id());
      UpstreamHandle known = byId.get(report.id());
      if (known != null && known.report().isSameProcess(report)) {
        logDraining(known.report(), report);
        known.update(report);
      } else {
        replace(known, report);
      }
      engineLimits(config, report.service()).ifPresent(byId.get(report.id())::setEngineLimits);
    }
    for (String id : new HashSet<>(byId.keySet())) {
      if (!reportedIds.contains(id)) {
        end(byId.remove(id));
        EventLog.emit(LogEvent.UPSTREAM_GONE, "upstream", id);
      }
    }
    recordReplaced(before);
  }

  /** Records the software version of an upstream that may be gone before the next update. */
  void recordVersion(UpstreamReport report) {
    versionHistory.record(ImmutableList.of(report), clockMillis.getAsLong());
  }

  /** Records that upstreams of unknown versions may have come and gone since the last update. */
  void recordMissedVersions() {
    versionHistory.restart(clockMillis.getAsLong());
  }

  /** Finds the upstreams that have ended, because another process has their address since. */
  private void recordReplaced(ImmutableList<UpstreamHandle> before) {
    ImmutableListMultimap<InetSocketAddress, UpstreamHandle> byAddress =
        Multimaps.index(byId.values(), u -> u.report().address());
    for (UpstreamHandle upstream : byId.values()) {
      boolean isReplaced =
          byAddress.get(upstream.report().address()).stream()
              .anyMatch(u -> isSuccessor(u, upstream, before));
      if (isReplaced) {
        upstream.recordReplaced();
      }
    }
  }

  private static boolean isSuccessor(
      UpstreamHandle later, UpstreamHandle earlier, ImmutableList<UpstreamHandle> before) {
    boolean isNewlyFound = before.contains(earlier) && !before.contains(later);
    boolean hasStartedLater =
        earlier.report().startedAtMillis() > 0
            && later.report().startedAtMillis() > earlier.report().startedAtMillis();
    return later != earlier && (isNewlyFound || hasStartedLater);
  }

  private static void logDraining(UpstreamReport previous, UpstreamReport current) {
    if (current.isDraining() && !previous.isDraining()) {
      EventLog.emit(
          LogEvent.UPSTREAM_DRAINING, "upstream", current.id(), "report", current.reportNumber());
    }
  }

  private static Optional<EngineLimits> engineLimits(
      Optional<RoutingConfig> config, String service) {
    return config.map(c -> c.services().get(service)).flatMap(Service::engine);
  }

  private void replace(UpstreamHandle known, UpstreamReport report) {
    if (known != null) {
      end(known);
    }
    ConnectionPool connections = ConnectionPool.create(connector, report.address(), clockMillis);
    SendPermission permission =
        known != null && known.report().address().equals(report.address())
            ? known.permissionOf(report)
            : new SendPermission(wallClockMillis, () -> new SendRate(shares::share, random));
    ServiceCapacity capacity =
        capacities.computeIfAbsent(report.service(), s -> new ServiceCapacity());
    byId.put(report.id(), new UpstreamHandle(report, connections, permission, capacity));
    EventLog.emit(
        LogEvent.UPSTREAM_FOUND,
        "upstream",
        report.id(),
        "service",
        report.service(),
        "version",
        report.softwareVersion(),
        "address",
        report.address(),
        "startedAt",
        report.startedAtMillis());
  }

  private void end(UpstreamHandle ended) {
    ended.close();
    endListener.accept(ended);
  }

  /**
   * Returns the upstreams of a service that accept requests and whose ids were not tried. While
   * some of the service take none now, those that have no room for the requests of these are left
   * out.
   */
  List<UpstreamHandle> candidates(String service, Set<String> tried) {
    long now = clockMillis.getAsLong();
    List<UpstreamHandle> all = allOfService(service);
    boolean isAnyBusy = all.stream().anyMatch(u -> u.takesRequestsAgainMillis(now).isPresent());
    return all.stream()
        .filter(u -> u.acceptsRequests(now))
        .filter(u -> !tried.contains(u.report().id()))
        .filter(u -> !isAnyBusy || u.hasRoomBesidePauses(now))
        .collect(Collectors.toList());
  }

  /**
   * Returns the time at which the first upstream of a service takes requests again, if a pause or a
   * limit keeps them away from one.
   */
  OptionalLong firstRoomMillis(String service) {
    long now = clockMillis.getAsLong();
    return allOfService(service).stream()
        .flatMapToLong(u -> u.takesRequestsAgainMillis(now).stream())
        .min();
  }

  /** Returns the number of upstreams that have named a limit. */
  int limitedCount() {
    return (int) byId.values().stream().filter(UpstreamHandle::isLimited).count();
  }

  /** Returns the number of upstreams that have asked for a pause that is not over. */
  int pausedCount() {
    long now = clockMillis.getAsLong();
    return (int) byId.values().stream().filter(u -> u.pausedUntilMillis(now).isPresent()).count();
  }

  /** Returns the upstreams of a service, including draining ones. */
  List<UpstreamHandle> allOfService(String service) {
    return byId.values().stream()
        .filter(u -> u.report().service().equals(service))
        .collect(Collectors.toList());
  }

  /**
   * Returns the only origin that streams of a service can have, if its upstreams had one version
   * for as long as streams may last.
   */
  Optional<StreamOrigin> soleOrigin(String service) {
    return versionHistory.soleVersion(service, clockMillis.getAsLong());
  }

  ImmutableList<UpstreamHandle> all() {
    return ImmutableList.copyOf(byId.values());
  }

  Optional<UpstreamHandle> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns the number of requests that this instance has in flight at each upstream, by upstream
   * id. Upstreams without such requests are omitted.
   */
  ImmutableMap<String, Integer> inFlight() {
    return byId.values().stream()
        .filter(u -> u.ownInFlight() > 0)
        .collect(toImmutableMap(u -> u.report().id(), UpstreamHandle::ownInFlight));
  }

  void closeExpired() {
    byId.values().forEach(u -> u.connections().closeExpired());
  }
}
