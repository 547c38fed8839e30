package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.proto.LinkProto.LoadReport;
import org.tanagerbank.proto.LinkProto.LoadSums;
import org.tanagerbank.proto.LinkProto.MeanLoad;
import org.tanagerbank.proto.LinkProto.ServiceLoad;
import org.tanagerbank.routing.LoadExchange;
import org.tanagerbank.routing.MeanLoadEstimate;
import org.tanagerbank.routing.SlotRouter;

/**
 * Tracks the load of each service as known to this entry, and produces the load sums to send to
 * other entries.
 *
 * <p>The state of each service has its own lock. Thread-safe.
 */
final class LoadTracker {
  /**
   * The time in milliseconds after which a sidecar that has not reported is no longer counted.
   * Sidecars report every 2 s.
   */
  private static final long REPORT_EXPIRY_MILLIS = 5_000;

  private static final int MILLI_PER_UNIT = 1_000;

  /** Load sums and the ids of the entries to send them to. */
  record OutgoingSums(ImmutableList<String> receivers, LoadSums sums) {}

  private record Report(int inFlight, long atMillis) {}

  /** The exchange of load sums and the reports of one service. */
  private static final class ServiceState {
    private final LoadExchange exchange;
    private final Map<String, Report> reports = new HashMap<>();
    private final AtomicInteger firstSends = new AtomicInteger();

    ServiceState(LoadExchange exchange) {
      this.exchange = exchange;
    }

    synchronized void report(String sidecarId, Report report) {
      reports.put(sidecarId, report);
    }

    synchronized void remove(String sidecarId) {
      reports.remove(sidecarId);
    }

    void refresh(SlotRouter router, long now) {
      exchange.updateOwnLoad(
          router.acceptedAtLiveUpstreams() + firstSends.get(), reporting(now), now);
    }

    synchronized int reporting(long now) {
      reports.values().removeIf(r -> now - r.atMillis() > REPORT_EXPIRY_MILLIS);
      return reports.size();
    }
  }

  private final String selfId;
  private final FleetState fleet;
  private final Map<String, ServiceState> services = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile ImmutableMap<String, String> zoneByEntry = ImmutableMap.of();

  LoadTracker(String selfId, FleetState fleet) {
    this.selfId = selfId;
    this.fleet = fleet;
  }

  private ServiceState service(String name) {
    return services.computeIfAbsent(
        name,
        n -> {
          LoadExchange exchange = new LoadExchange(selfId, n);
          exchange.setEntries(zoneByEntry);
          return new ServiceState(exchange);
        });
  }

  /**
   * Adds to the number of requests that wait for the answer to their first Submit: 1 when such a
   * wait begins, -1 when it ends.
   */
  void addFirstSends(String service, int change) {
    service(service).firstSends.addAndGet(change);
  }

  /** Records the periodic report of a sidecar that reports to this entry. */
  void recordReport(String service, String sidecarId, LoadReport report, long now) {
    service(service).report(sidecarId, new Report(report.getInFlight(), now));
    fleet.router(service).ifPresent(r -> r.updateLoad(sidecarId, report.getInFlight(), now));
  }

  /** Records a load change that a sidecar which reports to another entry sent on a link. */
  void recordLoadChange(String sidecarId, LoadReport report, long now) {
    fleet
        .lastKnown(sidecarId)
        .flatMap(u -> fleet.router(u.service()))
        .ifPresent(r -> r.updateLoad(sidecarId, report.getInFlight(), now));
  }

  /** Removes the report of a sidecar that no longer reports to this entry. */
  void removeReport(String service, String sidecarId) {
    ServiceState known = services.get(service);
    if (known != null) {
      known.remove(sidecarId);
    }
  }

  /** Records the load sums received from another entry. Sums of an unknown scope are ignored. */
  void recordSums(String fromEntry, LoadSums sums, long now) {
    Optional<LoadExchange.Scope> scope = scope(sums.getScope());
    if (scope.isEmpty()) {
      return;
    }
    for (ServiceLoad load : sums.getServicesList()) {
      if (fleet.router(load.getService()).isPresent()) {
        service(load.getService())
            .exchange
            .updatePeerLoad(
                fromEntry, scope.get(), load.getInFlight(), load.getLiveUpstreams(), now);
      }
    }
  }

  private static Optional<LoadExchange.Scope> scope(String name) {
    for (LoadExchange.Scope scope : LoadExchange.Scope.values()) {
      if (scope.name().equals(name)) {
        return Optional.of(scope);
      }
    }
    return Optional.empty();
  }

  /** Sets the live entries of the region, and the zone of this entry. */
  void setEntries(List<InstanceInfo> entries, String ownZone) {
    Map<String, String> zones = new LinkedHashMap<>();
    entries.forEach(e -> zones.put(e.id(), e.zone().name()));
    // The list lags behind, so this entry is added even if it is not listed yet.
    zones.put(selfId, ownZone);
    ImmutableMap<String, String> newZoneByEntry = ImmutableMap.copyOf(zones);
    if (!newZoneByEntry.equals(zoneByEntry)) {
      zoneByEntry = newZoneByEntry;
      services.values().forEach(s -> s.exchange.setEntries(newZoneByEntry));
    }
  }

  /** Updates the load estimates and returns the load sums to send now. */
  List<OutgoingSums> tick(long now) {
    Map<List<String>, Map<LoadExchange.Scope, LoadSums.Builder>> due = new LinkedHashMap<>();
    fleet.config().stream()
        .flatMap(c -> c.declaration().services().keySet().stream())
        .forEach(name -> fleet.router(name).ifPresent(r -> tickService(name, r, due, now)));
    ImmutableList.Builder<OutgoingSums> outgoing = ImmutableList.builder();
    due.forEach(
        (receivers, byScope) ->
            byScope
                .values()
                .forEach(
                    sums ->
                        outgoing.add(
                            new OutgoingSums(
                                ImmutableList.copyOf(receivers),
                                sums.setSequence(sequence.incrementAndGet()).build()))));
    return outgoing.build();
  }

  private void tickService(
      String name,
      SlotRouter router,
      Map<List<String>, Map<LoadExchange.Scope, LoadSums.Builder>> due,
      long now) {
    ServiceState service = service(name);
    service.refresh(router, now);
    service.exchange.meanEstimate(now).ifPresent(mean -> router.updateMean(mean, now));
    for (LoadExchange.Message message : service.exchange.pollMessages(now)) {
      if (!message.receivers().isEmpty()) {
        due.computeIfAbsent(message.receivers(), r -> new LinkedHashMap<>())
            .computeIfAbsent(message.scope(), s -> LoadSums.newBuilder().setScope(s.name()))
            .addServices(
                ServiceLoad.newBuilder()
                    .setService(name)
                    .setInFlight(message.inFlight())
                    .setLiveUpstreams(message.liveUpstreams()));
      }
    }
  }

  /**
   * Returns the estimate of a service's mean load, or the default instance, which has no live
   * upstreams, if there is no estimate.
   *
   * <p>The estimate includes the requests that this entry has sent up to now. When it included only
   * those up to the last tick, sidecars refused a burst that began at an idle service, because
   * every sidecar was sent a mean of zero. Requests that are sent again are counted only once they
   * are accepted: after a crash many of them are on their way at the same time, and would raise the
   * mean above the load of the live upstreams.
   */
  MeanLoad mean(String name, long now) {
    ServiceState known = services.get(name);
    if (known != null) {
      fleet.router(name).ifPresent(r -> known.refresh(r, now));
    }
    Optional<MeanLoadEstimate> mean =
        known == null ? Optional.empty() : known.exchange.meanEstimate(now);
    return mean.map(
            m ->
                MeanLoad.newBuilder()
                    .setMilliRequests(Math.round(m.mean() * MILLI_PER_UNIT))
                    .setLiveUpstreams(m.liveUpstreams())
                    .setAgeMillis((int) Math.max(0, now - m.takenAtMillis()))
                    .build())
        .orElse(MeanLoad.getDefaultInstance());
  }

  /**
   * Returns the number of requests in flight that a sidecar last reported to this entry, if any.
   */
  Optional<Integer> lastReport(String service, String sidecarId) {
    ServiceState known = services.get(service);
    if (known == null) {
      return Optional.empty();
    }
    synchronized (known) {
      return Optional.ofNullable(known.reports.get(sidecarId)).map(Report::inFlight);
    }
  }
}
