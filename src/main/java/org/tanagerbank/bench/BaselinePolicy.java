package org.tanagerbank.bench;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.LoadReport;

/** The naive policies: random, plain consistent hash, and least reported load. Not thread-safe. */
final class BaselinePolicy extends RoutedPolicy {
  /** Which baseline. */
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
  private static final long REPORT_MICROS = 500_000;

  private final Kind kind;
  private final SplittableRandom random;
  private final List<List<FakeEngine>> views = new ArrayList<>();
  private final List<HashRing> rings = new ArrayList<>();
  private int[] reported = new int[0];
  private long bytes;

  BaselinePolicy(Fleet fleet, Kind kind) {
    super(fleet);
    this.kind = kind;
    this.random = new SplittableRandom(settings.seed() + 101);
    for (int e = 0; e < settings.entries(); e++) {
      views.add(List.of());
      rings.add(new HashRing(List.of()));
    }
    if (kind == Kind.LEAST_REPORTED_LOAD) {
      time.at(0, this::report);
    }
  }

  @Override
  String name() {
    return kind.label;
  }

  @Override
  void viewChanged(int entry, Collection<Upstream> view) {
    views.set(entry, view.stream().map(fleet::engineOf).toList());
    if (kind == Kind.CONSISTENT_HASH) {
      rings.set(entry, HashRing.shared(views.get(entry)));
    }
  }

  /** Every engine reports to every entry; all entries hear it at the same time. */
  private void report() {
    int[] loads = new int[fleet.engines.size()];
    int up = 0;
    for (FakeEngine engine : fleet.engines) {
      loads[engine.index] = engine.inFlight();
      up += engine.up ? 1 : 0;
    }
    Frame frame =
        Frame.newBuilder()
            .setLoadReport(
                LoadReport.newBuilder().setSequence(1_000).setInFlight(5).setAccepting(true))
            .build();
    bytes += (frame.getSerializedSize() + 1L) * up * settings.entries();
    boolean late = settings.scenario() == BenchScenario.LAG;
    long lag = 1_500 + (late ? settings.reportLagMillis() * 1000 : 0);
    time.after(lag, () -> reported = loads);
    time.after(REPORT_MICROS, this::report);
  }

  @Override
  void route(Attempt attempt) {
    FakeEngine engine =
        attempt.excluded.size() >= MAX_ATTEMPTS ? null : choose(attempt.request, attempt.excluded);
    if (engine == null) {
      fleet.refused();
    } else {
      submit(attempt, engine.upstream);
    }
  }

  private FakeEngine choose(BenchRequest request, ImmutableSet<String> excluded) {
    List<FakeEngine> view = views.get(request.entry());
    if (kind == Kind.CONSISTENT_HASH) {
      return rings.get(request.entry()).choose(request.key().hash(), excluded);
    }
    if (view.size() <= excluded.size()) {
      return null;
    }
    return kind == Kind.RANDOM ? anyOf(view, excluded) : leastLoaded(view, excluded);
  }

  private FakeEngine anyOf(List<FakeEngine> view, ImmutableSet<String> excluded) {
    FakeEngine engine = view.get(random.nextInt(view.size()));
    for (int i = 0; i < 100 && excluded.contains(engine.upstream.id()); i++) {
      engine = view.get(random.nextInt(view.size()));
    }
    return engine;
  }

  private FakeEngine leastLoaded(List<FakeEngine> view, ImmutableSet<String> excluded) {
    FakeEngine best = null;
    int start = random.nextInt(view.size());
    for (int i = 0; i < view.size(); i++) {
      FakeEngine engine = view.get((start + i) % view.size());
      boolean better = best == null || load(engine) < load(best);
      best = better && !excluded.contains(engine.upstream.id()) ? engine : best;
    }
    return best;
  }

  private int load(FakeEngine engine) {
    return engine.index < reported.length ? reported[engine.index] : 0;
  }

  @Override
  Attempt.Refusal admit(Attempt attempt) {
    return hardRefusal(attempt.engine);
  }

  @Override
  void settled(Attempt attempt, int inFlight) {}

  @Override
  void refused(Attempt attempt, Attempt.Refusal refusal) {
    attempt.exclude(attempt.upstream.id());
  }

  @Override
  long controlBytes() {
    return bytes;
  }

  @Override
  Object decide(BenchRequest request) {
    return choose(request, ImmutableSet.of());
  }
}
