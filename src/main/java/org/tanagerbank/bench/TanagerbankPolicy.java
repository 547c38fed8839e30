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
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.routing.AdmissionDecision;
import org.tanagerbank.routing.HomeDirectory;
import org.tanagerbank.routing.MeanEstimate;
import org.tanagerbank.routing.Rendezvous;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.SlotTable;

/**
 * The production decision classes at every entry and sidecar, joined by simulated links.
 *
 * <p>Not thread-safe.
 */
final class TanagerbankPolicy extends RoutedPolicy {
  private final ServiceSpec spec;
  private final List<BenchEntry> entries = new ArrayList<>();
  private final Map<FakeEngine, BenchSidecar> sidecars = new HashMap<>();
  private final ControlBytes bytes = new ControlBytes();
  private final SplittableRandom random;
  private final Cache<List<Upstream>, SlotTable> tables =
      CacheBuilder.newBuilder().maximumSize(64).build();

  TanagerbankPolicy(Fleet fleet) {
    super(fleet);
    this.spec = spec(settings);
    this.random = new SplittableRandom(settings.seed() + 202);
    ImmutableMap.Builder<String, String> zoneByEntry = ImmutableMap.builder();
    for (int e = 0; e < settings.entries(); e++) {
      zoneByEntry.put("entry-" + e, fleet.zones.get(zoneOfEntry(e)).name());
    }
    for (int e = 0; e < settings.entries(); e++) {
      entries.add(new BenchEntry(this, e, spec, this::tableOf, bytes));
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

  /** Entries with the same list share a table, as they would hold equal ones. */
  private SlotTable tableOf(SlotTable old, List<Upstream> live) {
    try {
      return tables.get(live, () -> old.withUpstreams(live));
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
  void started(FakeEngine engine) {
    BenchSidecar sidecar = new BenchSidecar(this, engine, spec, reportingEntry(engine), bytes);
    sidecars.put(engine, sidecar);
    sidecar.start(random.nextLong(BenchSidecar.REPORT_MICROS));
  }

  /** Returns the entry of the engine's zone to which it reports, or one of another zone. */
  private BenchEntry reportingEntry(FakeEngine engine) {
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
  void leaving(FakeEngine engine) {
    sidecars.get(engine).leave();
    entries.forEach(e -> e.linkEvidence(engine));
  }

  @Override
  void crashed(FakeEngine engine) {
    sidecars.get(engine).stop();
    entries.forEach(e -> e.linkEvidence(engine));
  }

  @Override
  void viewChanged(int entry, Collection<Upstream> view) {
    entries.get(entry).setView(view);
  }

  @Override
  void healed() {
    entries.forEach(BenchEntry::linksRestored);
  }

  @Override
  void route(Attempt attempt) {
    BenchEntry entry = entries.get(attempt.request.entry());
    RouteDecision decision = entry.choose(attempt, random);
    if (decision instanceof RouteDecision.Send send) {
      attempt.home = send.home();
      attempt.asksHint = send.asksHint();
      attempt.holders = entry.router.directoryHolders(attempt.request.key());
      attempt.mean = entry.mean();
      entry.router.sent(send.upstream().id(), attempt.request.workspace(), time.nowMillis());
      bytes.submit(attempt);
      submit(attempt, send.upstream());
    } else {
      fleet.refused();
    }
  }

  @Override
  Attempt.Refusal admit(Attempt attempt) {
    BenchSidecar sidecar = sidecars.get(attempt.engine);
    if (!attempt.engine.accepting) {
      return refusal(sidecar, ErrorCode.LEAVING, "");
    }
    sidecar.meanReported(attempt.mean);
    if (!ignoresHint(attempt)) {
      HomeDirectory.Hint hint =
          sidecar.directory.hint(
              attempt.request.key(), sidecar.admission.isBusy(), time.nowMillis());
      if (hint instanceof HomeDirectory.Hint.MovedTo moved) {
        return refusal(sidecar, ErrorCode.MOVED, moved.upstreamId());
      } else if (hint instanceof HomeDirectory.Hint.Elsewhere) {
        return refusal(sidecar, ErrorCode.MOVED, "");
      }
    }
    AdmissionDecision decision =
        sidecar.admission.admit(attempt.request.workspace(), time.nowMillis());
    if (decision instanceof AdmissionDecision.Reject reject) {
      return refusal(sidecar, reject.code(), "");
    }
    sidecar.directory.servedHere(attempt.request.key());
    sidecar.loadChanged();
    return null;
  }

  /** A returning chat's first sends may be answered with a hint. */
  private static boolean ignoresHint(Attempt attempt) {
    return !attempt.asksHint || attempt.hintsLeft <= 0;
  }

  private Attempt.Refusal refusal(BenchSidecar sidecar, ErrorCode code, String movedTo) {
    return new Attempt.Refusal(code, movedTo, sidecar.admission.inFlight());
  }

  @Override
  void refused(Attempt attempt, Attempt.Refusal refusal) {
    bytes.refused(attempt, refusal);
    if (refusal.code() != ErrorCode.MOVED) {
      attempt.exclude(attempt.upstream.id());
      attempt.hintsLeft = 0;
      attempt.movedTo = Optional.empty();
    } else if (refusal.movedTo().isEmpty()) {
      attempt.hintsLeft--;
      attempt.exclude(attempt.upstream.id());
      if (attempt.namedBy != null) {
        attempt.exclude(attempt.namedBy.id());
      }
      attempt.movedTo = Optional.empty();
    } else {
      attempt.hintsLeft--;
      attempt.movedTo = Optional.of(refusal.movedTo());
      attempt.namedBy = attempt.upstream;
    }
  }

  @Override
  void accepted(Attempt attempt, int inFlight) {
    BenchEntry entry = entries.get(attempt.request.entry());
    entry.answered(attempt.upstream);
    attempt.accepted = true;
    entry.router.accepted(attempt.upstream.id(), inFlight, time.nowMillis());
    entry.loadChanged();
    if (!attempt.home.id().equals(attempt.upstream.id())) {
      attempt.holders.stream()
          .filter(h -> !h.equals(attempt.upstream) && !h.equals(attempt.namedBy))
          .forEach(h -> notifyHolder(attempt, h));
    }
  }

  private void notifyHolder(Attempt attempt, Upstream holder) {
    FakeEngine home = fleet.engineOf(holder);
    int zone = zoneOfEntry(attempt.request.entry());
    bytes.spill(attempt);
    time.after(
        Fleet.latency(zone, home.zone),
        () -> {
          if (home.up && fleet.connected(zone, home.zone)) {
            sidecars.get(home).directory.spilled(attempt.request.key(), attempt.upstream.id());
          }
        });
  }

  @Override
  void endedAtEngine(BenchRequest request, FakeEngine engine) {
    BenchSidecar sidecar = sidecars.get(engine);
    sidecar.admission.ended(request.workspace(), time.nowMillis());
    sidecar.loadChanged();
  }

  @Override
  void settled(Attempt attempt, int inFlight) {
    BenchEntry entry = entries.get(attempt.request.entry());
    String upstream = attempt.upstream.id();
    if (attempt.accepted) {
      entry.router.ended(upstream, attempt.request.workspace(), time.nowMillis());
    } else {
      entry.router.notAccepted(upstream, attempt.request.workspace(), time.nowMillis());
    }
    attempt.accepted = false;
    if (inFlight >= 0) {
      entry.router.loadReported(upstream, inFlight, time.nowMillis());
    }
    entry.loadChanged();
  }

  @Override
  boolean mayRetry(Attempt attempt) {
    return entries.get(attempt.request.entry()).retries.tryRetry(time.nowMillis());
  }

  @Override
  long controlBytes() {
    return bytes.total();
  }

  @Override
  Object decide(BenchRequest request) {
    return entries.get(request.entry()).choose(new Attempt(request), random);
  }

  static MeanEstimate none() {
    return new MeanEstimate(0, 0, 0);
  }
}
