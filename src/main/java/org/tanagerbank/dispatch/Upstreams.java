package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
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
import org.tanagerbank.admission.ServiceAdmission;
import org.tanagerbank.capacity.ServiceCapacity;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.Connector;
import org.tanagerbank.upstream.UpstreamReport;
import org.tanagerbank.zone.Evacuations;

/**
 * The upstreams to which this instance can send requests, by id. Not thread-safe; confined to the
 * event loop.
 */
final class Upstreams {
  /**
   * The time in milliseconds for which a removed upstream is remembered. A report that lapses in an
   * outage is written again within seconds; a process that ended is forgotten after this time.
   */
  private static final long REMOVED_MILLIS = 60_000;

  /** The requests that an upstream gets for each of its slots while others of its service pause. */
  private static final int MAX_LOAD_PER_SLOT_BESIDE_PAUSES = 2;

  private record Removed(UpstreamHandle upstream, long atMillis) {}

  private final Connector connector;
  private final LongSupplier clockMillis;
  private final LongSupplier wallClockMillis;
  private final Map<String, UpstreamHandle> byId = new HashMap<>();

  /** The upstreams whose reports were removed lately, by id, and the time of each removal. */
  private final Map<String, Removed> removed = new HashMap<>();

  private final Map<String, ServiceAdmission> admissions = new HashMap<>();
  private final Map<String, ServiceCapacity> capacities = new HashMap<>();
  private final VersionHistory versionHistory = new VersionHistory();
  private final SendShares shares;
  private final Evacuations evacuations = new Evacuations();
  private final RandomGenerator random;
  private final ColdTolerance coldTolerance;
  private Consumer<UpstreamHandle> endListener = ended -> {};

  Upstreams(
      Connector connector,
      LongSupplier clockMillis,
      LongSupplier wallClockMillis,
      RandomGenerator random,
      ColdTolerance coldTolerance) {
    this.coldTolerance = coldTolerance;
    this.wallClockMillis = wallClockMillis;
    this.connector = connector;
    this.clockMillis = clockMillis;
    this.random = random;
    this.shares = new SendShares(clockMillis, this::ownInFlight);
  }

  /** Returns an empty list of upstreams. */
  static Upstreams on(DispatchRuntime runtime, ColdTolerance coldTolerance) {
    return new Upstreams(
        runtime.connector(),
        runtime.clockMillis(),
        runtime.wallClockMillis(),
        runtime.random(),
        coldTolerance);
  }

  private int ownInFlight() {
    return byId.values().stream().mapToInt(UpstreamHandle::ownInFlight).sum();
  }

  /** Returns the share of this instance in what upstreams take from all instances together. */
  SendShares shares() {
    return shares;
  }

  /** Returns what admits the requests of a service at this instance. */
  ServiceAdmission admission(String service) {
    return admissions.computeIfAbsent(service, unused -> new ServiceAdmission());
  }

  /** Returns the time by the wall clock, which all instances share, in milliseconds. */
  long wallMillis() {
    return wallClockMillis.getAsLong();
  }

  /** Returns the zones to whose upstreams nothing may be sent. */
  Evacuations evacuations() {
    return evacuations;
  }

  /** Sets the listener that is notified of upstreams that restarted or are gone. */
  void setEndListener(Consumer<UpstreamHandle> listener) {
    endListener = listener;
  }

  /**
   * Replaces the list of upstreams. An upstream that restarted loses its connections and all
   * recorded state. One that is missing from the list loses its connections, and its recorded state
   * unless it is back within {@link #REMOVED_MILLIS}.
   *
   * @param reports the latest report of each upstream
   * @param config the configuration, which holds the engine limits of the services
   */
  void update(Collection<UpstreamReport> reports, Optional<RoutingConfig> config) {
    long now = clockMillis.getAsLong();
    versionHistory.record(reports, now);
    shares.sample();
    ImmutableList<UpstreamHandle> before = all();
    Set<String> reportedIds = new HashSet<>();
    for (UpstreamReport report : reports) {
      reportedIds.add(report.id());
      UpstreamHandle known = byId.get(report.id());
      if (known != null && known.report().isSameProcess(report)) {
        logDraining(known.report(), report);
        known.update(report, now);
      } else {
        add(Optional.ofNullable(known), report);
      }
      UpstreamHandle current = byId.get(report.id());
      Optional<Service> service = config.map(c -> c.services().get(report.service()));
      service.flatMap(Service::engine).ifPresent(current::setEngineLimits);
      current.updateCold(service.flatMap(Service::cold), now);
    }
    for (String id : new HashSet<>(byId.keySet())) {
      if (!reportedIds.contains(id)) {
        remove(id);
        EventLog.emit(LogEvent.UPSTREAM_GONE, "upstream", id);
      }
    }
    recordReplaced(before, config);
  }

  /** Returns which software versions there were lately. */
  VersionHistory versionHistory() {
    return versionHistory;
  }

  /** Finds the upstreams that have ended, because another process has their address since. */
  private void recordReplaced(
      ImmutableList<UpstreamHandle> before, Optional<RoutingConfig> config) {
    // Before there is a configuration, entries of other writers cannot be told from reports.
    Set<String> services = config.map(c -> c.services().keySet()).orElse(ImmutableSet.of());
    ImmutableListMultimap<InetSocketAddress, UpstreamHandle> byAddress =
        byId.values().stream()
            .filter(u -> services.contains(u.report().service()))
            .collect(
                ImmutableListMultimap.toImmutableListMultimap(u -> u.report().address(), u -> u));
    for (UpstreamHandle upstream : byId.values()) {
      byAddress.get(upstream.report().address()).stream()
          .filter(u -> isSuccessor(u, upstream, before))
          .forEach(u -> upstream.claim().recordSuccessor(u.claim()));
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

  private void add(Optional<UpstreamHandle> known, UpstreamReport report) {
    Optional<UpstreamHandle> earlier =
        known.or(() -> Optional.ofNullable(removed.remove(report.id())).map(Removed::upstream));
    ConnectionPool connections = ConnectionPool.create(connector, report.address(), clockMillis);
    byId.put(report.id(), handle(earlier, report, connections));
    known.ifPresent(this::end);
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

  private UpstreamHandle handle(
      Optional<UpstreamHandle> earlier, UpstreamReport report, ConnectionPool connections) {
    ColdState cold = new ColdState(report.id(), coldTolerance, shares::steadyShare, random);
    long now = clockMillis.getAsLong();
    if (earlier.isPresent() && earlier.get().report().isSameProcess(report)) {
      earlier.get().reopen(report, connections);
      return earlier.get();
    }
    return earlier
        .filter(e -> e.report().address().equals(report.address()))
        .map(e -> e.followedBy(report, connections, cold, now))
        .orElseGet(
            () ->
                new UpstreamHandle(
                    report,
                    connections,
                    new SendPermission(wallClockMillis, () -> new SendRate(shares::share, random)),
                    evacuations,
                    cold,
                    capacities.computeIfAbsent(report.service(), unused -> new ServiceCapacity()),
                    now));
  }

  private void remove(String id) {
    UpstreamHandle upstream = byId.remove(id);
    end(upstream);
    removed.put(id, new Removed(upstream, clockMillis.getAsLong()));
  }

  private void end(UpstreamHandle ended) {
    ended.close();
    endListener.accept(ended);
  }

  /**
   * Returns whether an upstream can take over requests of others that take none now: it is working
   * on fewer requests than twice its slots, so that none waits longer than another one takes.
   */
  private static boolean hasRoomBesidePauses(UpstreamHandle upstream, long nowMillis) {
    return upstream.fleetInFlight(nowMillis)
        < MAX_LOAD_PER_SLOT_BESIDE_PAUSES * upstream.report().slots();
  }

  /**
   * Returns those of the upstreams of a service that accept requests and whose ids were not tried.
   * While some of the service take none now, those that have no room for the requests of these are
   * left out.
   */
  List<UpstreamHandle> candidates(List<UpstreamHandle> all, Set<String> tried) {
    long now = clockMillis.getAsLong();
    boolean isAnyBusy = all.stream().anyMatch(u -> u.takesRequestsAgainMillis(now).isPresent());
    return all.stream()
        .filter(u -> u.acceptsRequests(now))
        .filter(u -> !tried.contains(u.report().id()))
        .filter(u -> !isAnyBusy || hasRoomBesidePauses(u, now))
        .collect(Collectors.toList());
  }

  /**
   * Returns the refusal of a request that none of the given upstreams can run now. If pauses,
   * limits or rates while cold keep requests away from some, it names the first time at which one
   * ends.
   */
  Optional<Refusal> refusalUntilRoom(List<UpstreamHandle> all) {
    long now = clockMillis.getAsLong();
    List<UpstreamHandle> busy =
        all.stream().filter(u -> u.takesRequestsAgainMillis(now).isPresent()).toList();
    OptionalLong roomAt =
        busy.stream().mapToLong(u -> u.takesRequestsAgainMillis(now).getAsLong()).min();
    if (roomAt.isEmpty()) {
      return Optional.empty();
    }
    long millisUntilRoom = roomAt.getAsLong() - now;
    return Optional.of(
        busy.stream().allMatch(u -> u.isColdWithoutRoom(now))
            ? Refusal.upstreamsCold(millisUntilRoom, random)
            : Refusal.upstreamsBusy(millisUntilRoom, random));
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

  /** Returns the number of upstreams that are cold and whose service bounds what they get. */
  int coldCount() {
    long now = clockMillis.getAsLong();
    return (int) byId.values().stream().filter(u -> u.isCold(now)).count();
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

  /** Closes connections that have been idle for too long, and forgets who was removed long ago. */
  void closeExpired() {
    long now = clockMillis.getAsLong();
    removed.values().removeIf(r -> now - r.atMillis() > REMOVED_MILLIS);
    byId.values().forEach(u -> u.connections().closeExpired());
  }
}
