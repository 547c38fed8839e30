package org.tanagerbank.bench;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.routing.LoadAggregator;
import org.tanagerbank.routing.LoadExchange;
import org.tanagerbank.routing.MeanEstimate;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.SlotRouter;
import org.tanagerbank.routing.SlotTable;

/** The decision classes of one entry, and its links to other entries. Not thread-safe. */
final class BenchEntry {
  final SlotRouter router;
  final RetryBudget retries = new RetryBudget();
  private static final long LINK_IDLE_MILLIS = 60_000;

  private final TanagerbankPolicy policy;
  private final SimulatedTime time;
  final int zone;
  private final String id;
  private final ControlBytes bytes;
  private final LoadExchange exchange;
  private final LoadAggregator sidecars = new LoadAggregator();
  private final Map<FakeEngine, Long> gone = new HashMap<>();
  private final Map<Upstream, Long> linked = new LinkedHashMap<>();
  private Map<String, String> allEntries = Map.of();
  private Collection<Upstream> view = List.of();
  private int reporting;
  private long wakeAtMillis = Long.MAX_VALUE;

  BenchEntry(
      TanagerbankPolicy policy,
      int index,
      ServiceSpec spec,
      BiFunction<SlotTable, List<Upstream>, SlotTable> tables,
      ControlBytes bytes) {
    this.policy = policy;
    this.time = policy.time;
    this.zone = policy.zoneOfEntry(index);
    this.id = "entry-" + index;
    this.bytes = bytes;
    this.router = new SlotRouter(spec, policy.fleet.zones.get(zone), tables);
    this.exchange = new LoadExchange(id, BenchSettings.SERVICE);
  }

  void setEntries(Map<String, String> zoneByEntry) {
    allEntries = zoneByEntry;
    exchange.setEntries(zoneByEntry);
    time.at(0, this::loadChanged);
  }

  /** Drops silent entries of the other side of a cut from the exchange. */
  private void updateEntries() {
    Map<String, String> connected = new TreeMap<>(allEntries);
    connected.keySet().removeIf(e -> !policy.fleet.connected(zone, policy.entryById(e).zone));
    exchange.setEntries(connected);
    loadChanged();
  }

  void linksRestored() {
    updateEntries();
  }

  /** Takes the instance list. Link evidence against an incarnation overrides it. */
  void setView(Collection<Upstream> upstreams) {
    view = List.copyOf(upstreams);
    updateUpstreams();
    if (policy.settings.scenario() == BenchScenario.PARTITION) {
      updateEntries();
    }
  }

  /**
   * Merges the list with the links in use: an upstream that is missing from the list but answers on
   * its link stays.
   */
  private void updateUpstreams() {
    Map<String, Upstream> merged = new TreeMap<>();
    linked.forEach(
        (upstream, usedAt) -> {
          boolean open = time.nowMillis() - usedAt < LINK_IDLE_MILLIS;
          if (open && policy.fleet.connected(zone, policy.fleet.engineOf(upstream).zone)) {
            merged.put(upstream.id(), upstream);
          }
        });
    for (Upstream upstream : view) {
      merged.merge(upstream.id(), upstream, (a, b) -> a.incarnation() > b.incarnation() ? a : b);
    }
    List<Upstream> live =
        merged.values().stream()
            .filter(u -> gone.getOrDefault(policy.fleet.engineOf(u), 0L) < u.incarnation())
            .toList();
    router.setUpstreams(live, time.nowMillis());
    loadChanged();
  }

  /** Learns over its link that an engine is leaving or that its sidecar is gone. */
  void linkEvidence(FakeEngine engine) {
    long incarnation = engine.upstream.incarnation();
    if (policy.fleet.connected(zone, engine.zone)) {
      time.after(
          Fleet.latency(zone, engine.zone),
          () -> {
            gone.put(engine, incarnation);
            sidecars.remove(engine.upstream.id());
            updateUpstreams();
          });
    }
  }

  /** Takes the in-flight count that a sidecar reported because it changed. */
  void loadReported(FakeEngine engine, int inFlight) {
    router.loadReported(engine.upstream.id(), inFlight, time.nowMillis());
  }

  /** Takes the report of a sidecar for which this is the reporting entry. */
  void sidecarReported(FakeEngine engine, int inFlight, long incarnation) {
    if (gone.getOrDefault(engine, 0L) < incarnation) {
      sidecars.report(engine.upstream.id(), inFlight, 1, time.nowMillis());
      router.loadReported(engine.upstream.id(), inFlight, time.nowMillis());
      loadChanged();
    }
  }

  /** Notes that an upstream answered on its link. */
  void answered(Upstream upstream) {
    linked.put(upstream, time.nowMillis());
  }

  RouteDecision choose(Attempt attempt, SplittableRandom random) {
    BenchRequest request = attempt.request;
    if (attempt.number == 0) {
      retries.requested(time.nowMillis());
    }
    router.meanReported(mean(), time.nowMillis());
    return router.choose(
        new RouteRequest(
            request.workspace(),
            request.key(),
            attempt.excluded,
            attempt.movedTo,
            request.returning()),
        time.nowMillis(),
        random);
  }

  MeanEstimate mean() {
    return exchange.mean(time.nowMillis()).orElseGet(TanagerbankPolicy::none);
  }

  /** Publishes this entry's part when it is due. */
  void loadChanged() {
    reporting = sidecars.sum(time.nowMillis()).liveUpstreams();
    exchange.ownChanged(router.acceptedAtLive(), reporting, time.nowMillis());
    exchange.due(time.nowMillis()).forEach(this::send);
    long next = exchange.nextSendMillis(time.nowMillis());
    if (next < wakeAtMillis) {
      wakeAtMillis = next;
      time.at(
          next * 1000,
          () -> {
            if (wakeAtMillis == next) {
              wakeAtMillis = Long.MAX_VALUE;
              loadChanged();
            }
          });
    }
  }

  private void send(LoadExchange.Message message) {
    boolean late = policy.settings.scenario() == BenchScenario.LAG;
    long lag = late ? policy.settings.sumsLagMillis() * 1000 : 0;
    for (String receiver : message.receivers()) {
      BenchEntry other = policy.entryById(receiver);
      bytes.sums(message);
      if (policy.fleet.connected(zone, other.zone)) {
        time.after(lag + Fleet.latency(zone, other.zone), () -> other.receive(id, message));
      }
    }
  }

  private void receive(String from, LoadExchange.Message message) {
    exchange.received(
        from, message.scope(), message.inFlight(), message.liveUpstreams(), time.nowMillis());
  }
}
