package org.tanagerbank.bench;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.LoadReport;

/**
 * The baseline policies: random choice, plain consistent hashing, and least reported load.
 *
 * <p>Not thread-safe.
 */
final class BaselinePolicy extends RoutedPolicy {
  /** The baselines, with the names under which their results are printed. */
  enum Kind {
    RANDOM("random"),
    CONSISTENT_HASH("consistent-hash"),
    LEAST_REPORTED_LOAD("least-reported-load");

    private final String label;

    Kind(String label) {
      this.label = label;
    }
  }

  private static final int MAX_ATTEMPTS = 4;
  private static final long REPORT_INTERVAL_MICROS = 500_000;

  private final Kind kind;
  private final SplittableRandom random;
  private final List<List<SimulatedEngine>> instanceLists = new ArrayList<>();
  private final List<HashRing> rings = new ArrayList<>();
  private int[] reportedLoads = new int[0];
  private long reportBytes;

  BaselinePolicy(SimulatedFleet fleet, Kind kind) {
    super(fleet);
    this.kind = kind;
    this.random = new SplittableRandom(settings.seed() + 101);
    for (int e = 0; e < settings.entries(); e++) {
      instanceLists.add(List.of());
      rings.add(new HashRing(List.of()));
    }
    if (kind == Kind.LEAST_REPORTED_LOAD) {
      time.at(0, this::reportLoads);
    }
  }

  @Override
  String name() {
    return kind.label;
  }

  @Override
  void instanceListChanged(int entry, Collection<Upstream> upstreams) {
    instanceLists.set(entry, upstreams.stream().map(fleet::engineOf).toList());
    if (kind == Kind.CONSISTENT_HASH) {
      rings.set(entry, HashRing.shared(instanceLists.get(entry)));
    }
  }

  /**
   * Sends the load of every engine to every entry; all entries receive the reports at the same
   * time.
   */
  private void reportLoads() {
    int[] loads = new int[fleet.engines.size()];
    int upEngines = 0;
    for (SimulatedEngine engine : fleet.engines) {
      loads[engine.index] = engine.inFlight();
      upEngines += engine.up ? 1 : 0;
    }
    Frame frame =
        Frame.newBuilder()
            .setLoadReport(
                LoadReport.newBuilder().setSequence(1_000).setInFlight(5).setAccepting(true))
            .build();
    reportBytes += (frame.getSerializedSize() + 1L) * upEngines * settings.entries();
    boolean delayed = settings.scenario() == BenchScenario.LAG;
    long lagMicros = 1_500 + (delayed ? settings.reportLagMillis() * 1000 : 0);
    time.after(lagMicros, () -> reportedLoads = loads);
    time.after(REPORT_INTERVAL_MICROS, this::reportLoads);
  }

  @Override
  void route(RequestProgress progress) {
    SimulatedEngine engine =
        progress.excluded.size() >= MAX_ATTEMPTS
            ? null
            : choose(progress.request, progress.excluded);
    if (engine == null) {
      fleet.countRefusal();
    } else {
      submit(progress, engine.upstream);
    }
  }

  private SimulatedEngine choose(BenchRequest request, ImmutableSet<String> excluded) {
    List<SimulatedEngine> engines = instanceLists.get(request.entry());
    if (kind == Kind.CONSISTENT_HASH) {
      return rings.get(request.entry()).choose(request.key().hash(), excluded);
    }
    if (engines.size() <= excluded.size()) {
      return null;
    }
    return kind == Kind.RANDOM ? randomEngine(engines, excluded) : leastLoaded(engines, excluded);
  }

  private SimulatedEngine randomEngine(
      List<SimulatedEngine> engines, ImmutableSet<String> excluded) {
    SimulatedEngine engine = engines.get(random.nextInt(engines.size()));
    for (int i = 0; i < 100 && excluded.contains(engine.upstream.id()); i++) {
      engine = engines.get(random.nextInt(engines.size()));
    }
    return engine;
  }

  private SimulatedEngine leastLoaded(
      List<SimulatedEngine> engines, ImmutableSet<String> excluded) {
    SimulatedEngine best = null;
    int start = random.nextInt(engines.size());
    for (int i = 0; i < engines.size(); i++) {
      SimulatedEngine engine = engines.get((start + i) % engines.size());
      boolean better = best == null || load(engine) < load(best);
      best = better && !excluded.contains(engine.upstream.id()) ? engine : best;
    }
    return best;
  }

  private int load(SimulatedEngine engine) {
    return engine.index < reportedLoads.length ? reportedLoads[engine.index] : 0;
  }

  @Override
  RequestProgress.Refusal admit(RequestProgress progress) {
    return refusalWithoutBound(progress.engine);
  }

  @Override
  void attemptEnded(RequestProgress progress, int inFlight) {}

  @Override
  void attemptRefused(RequestProgress progress, RequestProgress.Refusal refusal) {
    progress.exclude(progress.upstream.id());
  }

  @Override
  long controlBytes() {
    return reportBytes;
  }

  @Override
  Object decide(BenchRequest request) {
    return choose(request, ImmutableSet.of());
  }
}
