package org.tanagerbank.bench;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.routing.AdmissionDecision;
import org.tanagerbank.routing.ChatDirectory;
import org.tanagerbank.routing.MeanLoadEstimate;
import org.tanagerbank.routing.Rendezvous;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.SlotTable;

/**
 * The production policy: every simulated entry and sidecar runs the production decision classes,
 * connected by simulated links.
 *
 * <p>Not thread-safe.
 */
final class TanagerbankPolicy extends RoutedPolicy {
  private final ServiceSpec spec;
  private final List<BenchEntry> entries = new ArrayList<>();
  private final Map<SimulatedEngine, BenchSidecar> sidecars = new HashMap<>();
  private final ControlByteCounter byteCounter = new ControlByteCounter();
  private final SplittableRandom random;
  private final Cache<List<Upstream>, SlotTable> tableCache =
      CacheBuilder.newBuilder().maximumSize(64).build();

  TanagerbankPolicy(SimulatedFleet fleet) {
    super(fleet);
    this.spec = spec(settings);
    this.random = new SplittableRandom(settings.seed() + 202);
    ImmutableMap.Builder<String, String> zoneByEntry = ImmutableMap.builder();
    for (int e = 0; e < settings.entries(); e++) {
      zoneByEntry.put("entry-" + e, fleet.zones.get(zoneOfEntry(e)).name());
    }
    for (int e = 0; e < settings.entries(); e++) {
      entries.add(new BenchEntry(this, e, spec, this::tableOf, byteCounter));
    }
    entries.forEach(e -> e.setEntries(zoneByEntry.buildOrThrow()));
  }

  private static ServiceSpec spec(BenchSettings settings) {
    return new ServiceSpec(
        BenchSettings.SERVICE,
        ServiceKind.ENGINE,
        ImmutableList.of("draft-1"),
        ImmutableList.of(),
        BenchSettings.LOAD_MULTIPLE,
        new ServiceSpec.Weights(settings.reuseWeight(), settings.skewWeight()),
        30_000,
        0,
        BenchSettings.MAX_IN_FLIGHT,
        ImmutableMap.of("default", 1),
        new ServiceSpec.Objectives(1200, 51, 0.95),
        ImmutableList.of(),
        false);
  }

  /**
   * Returns the slot table of a list of upstreams. Entries with equal lists would compute equal
   * tables, so they share one to save time and memory.
   */
  private SlotTable tableOf(SlotTable old, List<Upstream> live) {
    try {
      return tableCache.get(live, () -> old.withUpstreams(live));
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  String name() {
    return "tanagerbank";
  }

  List<BenchEntry> entries() {
    return entries;
  }

  BenchEntry entryById(String id) {
    return entries.get(Integer.parseInt(id.substring("entry-".length())));
  }

  @Override
  void engineStarted(SimulatedEngine engine) {
    BenchSidecar sidecar =
        new BenchSidecar(this, engine, spec, reportingEntry(engine), byteCounter);
    sidecars.put(engine, sidecar);
    sidecar.start(random.nextLong(BenchSidecar.REPORT_INTERVAL_MICROS));
  }

  /**
   * Returns the entry to which the engine's sidecar reports: one in its zone, or one of another
   * zone if its zone has no entry.
   */
  private BenchEntry reportingEntry(SimulatedEngine engine) {
    List<String> near = new ArrayList<>();
    List<String> all = new ArrayList<>();
    for (int e = 0; e < entries.size(); e++) {
      all.add("entry-" + e);
      if (zoneOfEntry(e) == engine.zone) {
        near.add("entry-" + e);
      }
    }
    List<String> candidates = near.isEmpty() ? all : near;
    return entryById(Rendezvous.reportingEntry(engine.upstream.id(), candidates).orElseThrow());
  }

  @Override
  void engineLeaving(SimulatedEngine engine) {
    sidecars.get(engine).startLeaving();
    entries.forEach(e -> e.engineDeparted(engine));
  }

  @Override
  void engineCrashed(SimulatedEngine engine) {
    sidecars.get(engine).stop();
    entries.forEach(e -> e.engineDeparted(engine));
  }

  @Override
  void instanceListChanged(int entry, Collection<Upstream> upstreams) {
    entries.get(entry).setInstanceList(upstreams);
  }

  @Override
  void partitionEnded() {
    entries.forEach(BenchEntry::linksRestored);
  }

  @Override
  void route(RequestProgress progress) {
    BenchEntry entry = entries.get(progress.request.entry());
    RouteDecision decision = entry.choose(progress, random);
    if (decision instanceof RouteDecision.Send sendDecision) {
      progress.home = sendDecision.home();
      progress.allowsHint = sendDecision.allowsHint();
      progress.holders = entry.router.directoryHolders(progress.request.key());
      progress.mean = entry.mean();
      entry.router.recordSent(
          sendDecision.upstream().id(), progress.request.workspace(), time.nowMillis());
      byteCounter.countSubmit(progress);
      submit(progress, sendDecision.upstream());
    } else {
      fleet.countRefusal();
    }
  }

  @Override
  RequestProgress.Refusal admit(RequestProgress progress) {
    BenchSidecar sidecar = sidecars.get(progress.engine);
    if (!progress.engine.accepting) {
      return refusal(sidecar, ErrorCode.LEAVING, "");
    }
    sidecar.updateMean(progress.mean);
    if (!ignoresHint(progress)) {
      ChatDirectory.Hint hint =
          sidecar.directory.hint(
              progress.request.key(), sidecar.admission.isAboveMean(), time.nowMillis());
      if (hint instanceof ChatDirectory.Hint.MovedTo moved) {
        return refusal(sidecar, ErrorCode.MOVED, moved.upstreamId());
      } else if (hint instanceof ChatDirectory.Hint.Elsewhere) {
        return refusal(sidecar, ErrorCode.MOVED, "");
      }
    }
    AdmissionDecision decision =
        sidecar.admission.admit(progress.request.workspace(), time.nowMillis());
    if (decision instanceof AdmissionDecision.Reject reject) {
      return refusal(sidecar, reject.code(), "");
    }
    sidecar.directory.recordServedHere(progress.request.key());
    sidecar.loadChanged();
    return null;
  }

  /**
   * Returns whether the sidecar must run the request instead of answering with a hint: the entry
   * did not request a hint, or has used up its hints.
   */
  private static boolean ignoresHint(RequestProgress progress) {
    return !progress.allowsHint || progress.remainingHints <= 0;
  }

  private RequestProgress.Refusal refusal(BenchSidecar sidecar, ErrorCode code, String movedTo) {
    return new RequestProgress.Refusal(code, movedTo, sidecar.admission.inFlight());
  }

  @Override
  void attemptRefused(RequestProgress progress, RequestProgress.Refusal refusal) {
    byteCounter.countRefusal(progress, refusal);
    if (refusal.code() != ErrorCode.MOVED) {
      progress.exclude(progress.upstream.id());
      progress.remainingHints = 0;
      progress.movedTo = Optional.empty();
    } else if (refusal.movedTo().isEmpty()) {
      progress.remainingHints--;
      progress.exclude(progress.upstream.id());
      if (progress.redirectedBy != null) {
        progress.exclude(progress.redirectedBy.id());
      }
      progress.movedTo = Optional.empty();
    } else {
      progress.remainingHints--;
      progress.movedTo = Optional.of(refusal.movedTo());
      progress.redirectedBy = progress.upstream;
    }
  }

  @Override
  void attemptAccepted(RequestProgress progress, int inFlight) {
    BenchEntry entry = entries.get(progress.request.entry());
    entry.answerReceived(progress.upstream);
    progress.accepted = true;
    entry.router.recordAccepted(progress.upstream.id(), inFlight, time.nowMillis());
    entry.loadChanged();
    if (!progress.home.id().equals(progress.upstream.id())) {
      progress.holders.stream()
          .filter(h -> !h.equals(progress.upstream) && !h.equals(progress.redirectedBy))
          .forEach(h -> notifyHolder(progress, h));
    }
  }

  private void notifyHolder(RequestProgress progress, Upstream holder) {
    SimulatedEngine home = fleet.engineOf(holder);
    int zone = zoneOfEntry(progress.request.entry());
    byteCounter.countSpillNotice(progress);
    time.after(
        SimulatedFleet.latencyMicros(zone, home.zone),
        () -> {
          if (home.up && fleet.isConnected(zone, home.zone)) {
            sidecars
                .get(home)
                .directory
                .recordSpill(progress.request.key(), progress.upstream.id());
          }
        });
  }

  @Override
  void requestEndedAtEngine(BenchRequest request, SimulatedEngine engine) {
    BenchSidecar sidecar = sidecars.get(engine);
    sidecar.admission.recordEnded(request.workspace(), time.nowMillis());
    sidecar.loadChanged();
  }

  @Override
  void attemptEnded(RequestProgress progress, int inFlight) {
    BenchEntry entry = entries.get(progress.request.entry());
    String upstream = progress.upstream.id();
    if (progress.accepted) {
      entry.router.recordEnded(upstream, progress.request.workspace(), time.nowMillis());
    } else {
      entry.router.recordNotAccepted(upstream, progress.request.workspace(), time.nowMillis());
    }
    progress.accepted = false;
    if (inFlight >= 0) {
      entry.router.updateLoad(upstream, inFlight, time.nowMillis());
    }
    entry.loadChanged();
  }

  @Override
  boolean mayRetry(RequestProgress progress) {
    return entries.get(progress.request.entry()).retryBudget.tryAcquire(time.nowMillis());
  }

  @Override
  long controlBytes() {
    return byteCounter.total();
  }

  @Override
  Object decide(BenchRequest request) {
    return entries.get(request.entry()).choose(new RequestProgress(request), random);
  }

  static MeanLoadEstimate unknownMean() {
    return new MeanLoadEstimate(0, 0, 0);
  }
}
