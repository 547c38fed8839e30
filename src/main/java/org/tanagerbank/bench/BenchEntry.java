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
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.routing.LoadAggregator;
import org.tanagerbank.routing.LoadExchange;
import org.tanagerbank.routing.MeanLoadEstimate;
import org.tanagerbank.routing.RetryBudget;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.SlotRouter;
import org.tanagerbank.routing.SlotTable;

/**
 * One simulated entry: the production decision classes and its links to sidecars and other entries.
 *
 * <p>Not thread-safe.
 */
final class BenchEntry {
  final SlotRouter router;
  final RetryBudget retryBudget = new RetryBudget();
  private static final long LINK_IDLE_MILLIS = 60_000;

  private final TanagerbankPolicy policy;
  private final SimulatedTime time;
  final int zone;
  private final String id;
  private final ControlByteCounter byteCounter;
  private final LoadExchange exchange;
  private final LoadAggregator sidecarLoads = new LoadAggregator();
  private final Map<SimulatedEngine, Long> departedIncarnations = new HashMap<>();
  private final Map<Upstream, Long> lastAnswerMillis = new LinkedHashMap<>();
  private Map<String, String> allEntries = Map.of();
  private Collection<Upstream> listedUpstreams = List.of();
  private int reportingSidecars;
  private long scheduledSendMillis = Long.MAX_VALUE;

  BenchEntry(
      TanagerbankPolicy policy,
      int index,
      ServiceSpec spec,
      BiFunction<SlotTable, List<Upstream>, SlotTable> tables,
      ControlByteCounter byteCounter) {
    this.policy = policy;
    this.time = policy.time;
    this.zone = policy.zoneOfEntry(index);
    this.id = "entry-" + index;
    this.byteCounter = byteCounter;
    this.router = new SlotRouter(spec, policy.fleet.zones.get(zone), tables);
    this.exchange = new LoadExchange(id, BenchSettings.SERVICE);
  }

  void setEntries(Map<String, String> zoneByEntry) {
    allEntries = zoneByEntry;
    exchange.setEntries(zoneByEntry);
    time.at(0, this::loadChanged);
  }

  /** Excludes entries on the other side of a partition from the exchange of load sums. */
  private void updateEntries() {
    Map<String, String> connected = new TreeMap<>(allEntries);
    connected.keySet().removeIf(e -> !policy.fleet.isConnected(zone, policy.entryById(e).zone));
    exchange.setEntries(connected);
    loadChanged();
  }

  void linksRestored() {
    updateEntries();
  }

  /**
   * Sets the instance list. An incarnation whose departure was detected on its link stays excluded
   * even if the list contains it.
   */
  void setInstanceList(Collection<Upstream> upstreams) {
    listedUpstreams = List.copyOf(upstreams);
    updateUpstreams();
    if (policy.settings.scenario() == BenchScenario.PARTITION) {
      updateEntries();
    }
  }

  /**
   * Merges the instance list with the links in use. An upstream that is missing from the list stays
   * as long as it has answered on its link recently.
   */
  private void updateUpstreams() {
    Map<String, Upstream> merged = new TreeMap<>();
    lastAnswerMillis.forEach(
        (upstream, usedAt) -> {
          boolean linkOpen = time.nowMillis() - usedAt < LINK_IDLE_MILLIS;
          if (linkOpen && policy.fleet.isConnected(zone, policy.fleet.engineOf(upstream).zone)) {
            merged.put(upstream.id(), upstream);
          }
        });
    for (Upstream upstream : listedUpstreams) {
      merged.merge(upstream.id(), upstream, (a, b) -> a.incarnation() > b.incarnation() ? a : b);
    }
    List<Upstream> live =
        merged.values().stream()
            .filter(
                u ->
                    departedIncarnations.getOrDefault(policy.fleet.engineOf(u), 0L)
                        < u.incarnation())
            .toList();
    router.setUpstreams(live, time.nowMillis());
    loadChanged();
  }

  /**
   * Excludes the current incarnation of an engine that is leaving or whose sidecar has stopped,
   * once the notification has arrived over the link. Does nothing across a partition.
   */
  void engineDeparted(SimulatedEngine engine) {
    long incarnation = engine.upstream.incarnation();
    if (policy.fleet.isConnected(zone, engine.zone)) {
      time.after(
          SimulatedFleet.latencyMicros(zone, engine.zone),
          () -> {
            departedIncarnations.put(engine, incarnation);
            sidecarLoads.removePart(engine.upstream.id());
            updateUpstreams();
          });
    }
  }

  /** Records the in-flight count that a sidecar reported because it had changed. */
  void updateLoad(SimulatedEngine engine, int inFlight) {
    router.updateLoad(engine.upstream.id(), inFlight, time.nowMillis());
  }

  /** Records the regular report of a sidecar that reports to this entry. */
  void sidecarReported(SimulatedEngine engine, int inFlight, long incarnation) {
    if (departedIncarnations.getOrDefault(engine, 0L) < incarnation) {
      sidecarLoads.updatePart(engine.upstream.id(), inFlight, 1, time.nowMillis());
      router.updateLoad(engine.upstream.id(), inFlight, time.nowMillis());
      loadChanged();
    }
  }

  /** Records that an upstream has just answered on its link. */
  void answerReceived(Upstream upstream) {
    lastAnswerMillis.put(upstream, time.nowMillis());
  }

  RouteDecision choose(RequestProgress progress, SplittableRandom random) {
    BenchRequest request = progress.request;
    if (progress.generation == 0) {
      retryBudget.recordRequest(time.nowMillis());
    }
    router.updateMean(mean(), time.nowMillis());
    return router.choose(
        new RouteRequest(
            request.workspace(),
            request.key(),
            progress.excluded,
            progress.movedTo,
            request.hasEarlierTurns()),
        time.nowMillis(),
        random);
  }

  MeanLoadEstimate mean() {
    return exchange.meanEstimate(time.nowMillis()).orElseGet(TanagerbankPolicy::unknownMean);
  }

  /**
   * Recomputes this entry's load sum, sends the messages that are due, and schedules the next send.
   */
  void loadChanged() {
    reportingSidecars = sidecarLoads.sum(time.nowMillis()).liveUpstreams();
    exchange.updateOwnLoad(router.acceptedAtLiveUpstreams(), reportingSidecars, time.nowMillis());
    exchange.pollMessages(time.nowMillis()).forEach(this::send);
    long next = exchange.nextSendMillis(time.nowMillis());
    if (next < scheduledSendMillis) {
      scheduledSendMillis = next;
      time.at(
          next * 1000,
          () -> {
            if (scheduledSendMillis == next) {
              scheduledSendMillis = Long.MAX_VALUE;
              loadChanged();
            }
          });
    }
  }

  private void send(LoadExchange.Message message) {
    boolean delayed = policy.settings.scenario() == BenchScenario.LAG;
    long lagMicros = delayed ? policy.settings.sumsLagMillis() * 1000 : 0;
    for (String receiver : message.receivers()) {
      BenchEntry other = policy.entryById(receiver);
      byteCounter.countLoadSums(message);
      if (policy.fleet.isConnected(zone, other.zone)) {
        time.after(
            lagMicros + SimulatedFleet.latencyMicros(zone, other.zone),
            () -> other.receive(id, message));
      }
    }
  }

  private void receive(String from, LoadExchange.Message message) {
    exchange.updatePeerLoad(
        from, message.scope(), message.inFlight(), message.liveUpstreams(), time.nowMillis());
  }
}
