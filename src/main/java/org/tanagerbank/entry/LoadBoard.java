package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.proto.LinkProto.LoadReport;
import org.tanagerbank.proto.LinkProto.LoadSums;
import org.tanagerbank.proto.LinkProto.MeanLoad;
import org.tanagerbank.proto.LinkProto.ServiceLoad;
import org.tanagerbank.routing.LoadExchange;
import org.tanagerbank.routing.MeanEstimate;
import org.tanagerbank.routing.SlotRouter;

/**
 * The load of each service as this entry knows it, and what it tells other entries about it.
 *
 * <p>State is per service, each with its own lock. Thread-safe.
 */
final class LoadBoard {
  /** A sidecar that has not reported for this long no longer counts; reports come every 2 s. */
  private static final long REPORT_EXPIRY_MILLIS = 5_000;

  private static final int MILLI = 1_000;

  /** Sums to send to some entries. */
  record Outgoing(ImmutableList<String> receivers, LoadSums sums) {}

  private record Report(int inFlight, long atMillis) {}

  private static final class Service {
    private final LoadExchange exchange;
    private final Map<String, Report> reports = new HashMap<>();

    Service(LoadExchange exchange) {
      this.exchange = exchange;
    }

    synchronized void report(String sidecarId, Report report) {
      reports.put(sidecarId, report);
    }

    synchronized void remove(String sidecarId) {
      reports.remove(sidecarId);
    }

    synchronized int reporting(long now) {
      reports.values().removeIf(r -> now - r.atMillis() > REPORT_EXPIRY_MILLIS);
      return reports.size();
    }
  }

  private final String selfId;
  private final Fleet fleet;
  private final Map<String, Service> services = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile ImmutableMap<String, String> zoneByEntry = ImmutableMap.of();

  LoadBoard(String selfId, Fleet fleet) {
    this.selfId = selfId;
    this.fleet = fleet;
  }

  private Service service(String name) {
    return services.computeIfAbsent(
        name,
        n -> {
          LoadExchange exchange = new LoadExchange(selfId, n);
          exchange.setEntries(zoneByEntry);
          return new Service(exchange);
        });
  }

  /** Takes a sidecar's report. */
  void reported(String service, String sidecarId, LoadReport report, long now) {
    service(service).report(sidecarId, new Report(report.getInFlight(), now));
    fleet.router(service).ifPresent(r -> r.loadReported(sidecarId, report.getInFlight(), now));
  }

  /** Takes a change of load that a sidecar which reports elsewhere told on a link. */
  void changed(String sidecarId, LoadReport report, long now) {
    fleet
        .lastKnown(sidecarId)
        .flatMap(u -> fleet.router(u.service()))
        .ifPresent(r -> r.loadReported(sidecarId, report.getInFlight(), now));
  }

  /** Notes that a sidecar no longer reports to this entry. */
  void gone(String service, String sidecarId) {
    Service known = services.get(service);
    if (known != null) {
      known.remove(sidecarId);
    }
  }

  /** Takes the sums that another entry sent. */
  void received(String fromEntry, LoadSums sums, long now) {
    Optional<LoadExchange.Scope> scope = scope(sums.getScope());
    if (scope.isEmpty()) {
      return;
    }
    for (ServiceLoad load : sums.getServicesList()) {
      if (fleet.router(load.getService()).isPresent()) {
        service(load.getService())
            .exchange
            .received(fromEntry, scope.get(), load.getInFlight(), load.getLiveUpstreams(), now);
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

  /** Takes the entries of the region. */
  void setEntries(List<InstanceInfo> entries, String ownZone) {
    Map<String, String> zones = new LinkedHashMap<>();
    entries.forEach(e -> zones.put(e.id(), e.zone().name()));
    // The list lags; this entry takes part whether or not it is listed yet.
    zones.put(selfId, ownZone);
    ImmutableMap<String, String> next = ImmutableMap.copyOf(zones);
    if (!next.equals(zoneByEntry)) {
      zoneByEntry = next;
      services.values().forEach(s -> s.exchange.setEntries(next));
    }
  }

  /** Brings the estimates up to date and returns what is to be sent now. */
  List<Outgoing> tick(long now) {
    Map<List<String>, Map<LoadExchange.Scope, LoadSums.Builder>> due = new LinkedHashMap<>();
    fleet.config().stream()
        .flatMap(c -> c.declaration().services().keySet().stream())
        .forEach(name -> fleet.router(name).ifPresent(r -> tick(name, r, due, now)));
    ImmutableList.Builder<Outgoing> out = ImmutableList.builder();
    due.forEach(
        (receivers, byScope) ->
            byScope
                .values()
                .forEach(
                    sums ->
                        out.add(
                            new Outgoing(
                                ImmutableList.copyOf(receivers),
                                sums.setSequence(sequence.incrementAndGet()).build()))));
    return out.build();
  }

  private void tick(
      String name,
      SlotRouter router,
      Map<List<String>, Map<LoadExchange.Scope, LoadSums.Builder>> due,
      long now) {
    Service service = service(name);
    service.exchange.ownChanged(router.acceptedAtLive(), service.reporting(now), now);
    service.exchange.mean(now).ifPresent(mean -> router.meanReported(mean, now));
    for (LoadExchange.Message message : service.exchange.due(now)) {
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
   * Returns the estimate of a service's mean load; with no live upstreams when there is none.
   *
   * <p>The requests that this entry has sent so far are counted in. With those of the last tick
   * only, a burst that began at an idle service was refused, because every sidecar was told a mean
   * of zero.
   */
  MeanLoad mean(String name, long now) {
    Service known = services.get(name);
    if (known != null) {
      fleet
          .router(name)
          .ifPresent(r -> known.exchange.ownChanged(r.acceptedAtLive(), known.reporting(now), now));
    }
    Optional<MeanEstimate> mean = known == null ? Optional.empty() : known.exchange.mean(now);
    return mean.map(
            m ->
                MeanLoad.newBuilder()
                    .setMilliRequests(Math.round(m.mean() * MILLI))
                    .setLiveUpstreams(m.liveUpstreams())
                    .setAgeMillis((int) Math.max(0, now - m.takenAtMillis()))
                    .build())
        .orElse(MeanLoad.getDefaultInstance());
  }

  /** Returns the load that a sidecar last reported to this entry. */
  Optional<Integer> lastReport(String service, String sidecarId) {
    Service known = services.get(service);
    if (known == null) {
      return Optional.empty();
    }
    synchronized (known) {
      return Optional.ofNullable(known.reports.get(sidecarId)).map(Report::inFlight);
    }
  }
}
