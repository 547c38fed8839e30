package org.tanagerbank.bench;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.machine.Zone;

/**
 * The engines of one run with the exact load of each side of a partition, and what is measured.
 *
 * <p>Not thread-safe.
 */
final class Fleet {
  private static final String ID_PREFIX = "engine-";

  /** Load ratios are recorded in thousandths. */
  private static final double RATIO_UNIT = 1000;

  final BenchSettings settings;
  final SimulatedTime time = new SimulatedTime();
  final List<FakeEngine> engines = new ArrayList<>();
  final List<Zone> zones = new ArrayList<>();
  private final long[] inFlight = new long[2];
  private final int[] live = new int[2];
  private final Histogram ratios = new Histogram(3);
  private boolean cut;
  private double worst;
  private double worstWhole;
  private long promptTokens;
  private long reusedTokens;
  private long arrived;
  private long refused;

  Fleet(BenchSettings settings) {
    this.settings = settings;
    for (int z = 0; z < settings.zones(); z++) {
      zones.add(new Zone("zone-" + z, "region-0"));
    }
    for (int i = 0; i < settings.upstreams(); i++) {
      add();
    }
  }

  /** Adds an engine that is down. */
  FakeEngine add() {
    int index = engines.size();
    int zone = index % zones.size();
    Upstream upstream = upstream(index, 1);
    FakeEngine engine = new FakeEngine(index, zone, upstream, time, settings.cacheTokens());
    engines.add(engine);
    return engine;
  }

  private Upstream upstream(int index, long incarnation) {
    return new Upstream(
        ID_PREFIX + index,
        incarnation,
        BenchSettings.SERVICE,
        zones.get(index % zones.size()),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        1);
  }

  /** Returns the engine of an upstream, whatever its incarnation. */
  FakeEngine engineOf(Upstream upstream) {
    return engines.get(Integer.parseInt(upstream.id().substring(ID_PREFIX.length())));
  }

  /** Starts an engine, or starts it again as a new incarnation; it accepts no work yet. */
  void start(FakeEngine engine) {
    engine.up = true;
    engine.upstream = upstream(engine.index, engine.upstream.incarnation() + 1);
  }

  /** Makes a started engine accept work. */
  void accept(FakeEngine engine) {
    engine.accepting = true;
    live[sideOf(engine.zone)]++;
    inFlight[sideOf(engine.zone)] += engine.inFlight();
  }

  /** Makes an engine refuse new work. */
  void leave(FakeEngine engine) {
    if (engine.accepting) {
      live[sideOf(engine.zone)]--;
      inFlight[sideOf(engine.zone)] -= engine.inFlight();
      engine.accepting = false;
    }
  }

  /** Returns the side of a zone: the last zone is alone while it is cut off. */
  int sideOf(int zone) {
    return cut && zone == zones.size() - 1 ? 1 : 0;
  }

  boolean connected(int zoneA, int zoneB) {
    return sideOf(zoneA) == sideOf(zoneB);
  }

  boolean isCut() {
    return cut;
  }

  void setCut(boolean nowCut) {
    cut = nowCut;
    inFlight[0] = 0;
    inFlight[1] = 0;
    live[0] = 0;
    live[1] = 0;
    for (FakeEngine engine : engines) {
      if (engine.accepting) {
        live[sideOf(engine.zone)]++;
        inFlight[sideOf(engine.zone)] += engine.inFlight();
      }
    }
  }

  /** Returns the true mean on a side with one more request counted. */
  double meanWithNew(int side) {
    return (inFlight[side] + 1.0) / Math.max(1, live[side]);
  }

  /** Runs a request on an engine, and records its load ratio and reuse. */
  void admit(FakeEngine engine, BenchRequest request, Runnable onEnd, Runnable onLost) {
    int side = sideOf(engine.zone);
    if (time.nowMicros() >= settings.warmupMicros()) {
      double ratio = engine.inFlight() / meanWithNew(side);
      double whole = (inFlight[0] + inFlight[1] + 1.0) / Math.max(1, live[0] + live[1]);
      worst = Math.max(worst, ratio);
      worstWhole = Math.max(worstWhole, engine.inFlight() / whole);
      ratios.recordValue(Math.round(ratio * RATIO_UNIT));
      promptTokens += request.promptTokens();
      reusedTokens += Math.min(request.promptTokens(), engine.cachedPrefix(request.chat()));
    }
    inFlight[side]++;
    engine.admit(
        new FakeEngine.Job(
            request,
            () -> {
              if (engine.accepting) {
                inFlight[sideOf(engine.zone)]--;
              }
              onEnd.run();
            },
            onLost));
  }

  void arrived() {
    arrived += time.nowMicros() >= settings.warmupMicros() ? 1 : 0;
  }

  void refused() {
    refused += time.nowMicros() >= settings.warmupMicros() ? 1 : 0;
  }

  /** Returns the one-way time between two zones in microseconds. */
  static long latency(int zoneA, int zoneB) {
    return zoneA == zoneB ? 500 : 1_500;
  }

  PolicyResult result(String policy, double controlBytes, double nanos) {
    return new PolicyResult(
        policy,
        promptTokens == 0 ? 0 : (double) reusedTokens / promptTokens,
        worst,
        ratios.getTotalCount() == 0 ? 0 : ratios.getValueAtPercentile(99) / RATIO_UNIT,
        worstWhole,
        arrived == 0 ? 0 : (double) refused / arrived,
        arrived,
        controlBytes,
        nanos);
  }
}
