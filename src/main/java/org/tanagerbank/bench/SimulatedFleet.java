package org.tanagerbank.bench;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;

/**
 * The engines of one run, with the exact load on each side of a partition and the measured results.
 *
 * <p>Not thread-safe.
 */
final class SimulatedFleet {
  private static final String ID_PREFIX = "engine-";

  /** The histogram of load ratios records integers, in thousandths. */
  private static final double RATIO_UNITS_PER_ONE = 1000;

  final BenchSettings settings;
  final SimulatedTime time = new SimulatedTime();
  final List<SimulatedEngine> engines = new ArrayList<>();
  final List<Zone> zones = new ArrayList<>();
  private final long[] inFlight = new long[2];
  private final int[] acceptingEngines = new int[2];
  private final Histogram loadRatios = new Histogram(3);
  private boolean partitioned;
  private double worstLoadRatio;
  private double worstLoadRatioWholeService;
  private long promptTokens;
  private long reusedTokens;
  private long arrivals;
  private long refusals;

  SimulatedFleet(BenchSettings settings) {
    this.settings = settings;
    for (int z = 0; z < settings.zones(); z++) {
      zones.add(new Zone("zone-" + z, "region-0"));
    }
    for (int i = 0; i < settings.upstreams(); i++) {
      add();
    }
  }

  /** Adds an engine that is not running. */
  SimulatedEngine add() {
    int index = engines.size();
    int zone = index % zones.size();
    Upstream upstream = upstream(index, 1);
    SimulatedEngine engine =
        new SimulatedEngine(index, zone, upstream, time, settings.cacheTokens());
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

  /** Returns the engine of an upstream, regardless of its incarnation. */
  SimulatedEngine engineOf(Upstream upstream) {
    return engines.get(Integer.parseInt(upstream.id().substring(ID_PREFIX.length())));
  }

  /** Starts or restarts an engine as a new incarnation, which does not accept work yet. */
  void start(SimulatedEngine engine) {
    engine.up = true;
    engine.upstream = upstream(engine.index, engine.upstream.incarnation() + 1);
  }

  /** Makes a started engine accept work, and includes it in the load of its side. */
  void startAccepting(SimulatedEngine engine) {
    engine.accepting = true;
    acceptingEngines[sideOf(engine.zone)]++;
    inFlight[sideOf(engine.zone)] += engine.inFlight();
  }

  /** Makes an engine refuse new work, and excludes it from the load of its side. */
  void stopAccepting(SimulatedEngine engine) {
    if (engine.accepting) {
      acceptingEngines[sideOf(engine.zone)]--;
      inFlight[sideOf(engine.zone)] -= engine.inFlight();
      engine.accepting = false;
    }
  }

  /** Returns the side of a zone: 1 for the last zone during a partition, otherwise 0. */
  int sideOf(int zone) {
    return partitioned && zone == zones.size() - 1 ? 1 : 0;
  }

  boolean isConnected(int zoneA, int zoneB) {
    return sideOf(zoneA) == sideOf(zoneB);
  }

  boolean isPartitioned() {
    return partitioned;
  }

  void setPartitioned(boolean isPartitioned) {
    partitioned = isPartitioned;
    inFlight[0] = 0;
    inFlight[1] = 0;
    acceptingEngines[0] = 0;
    acceptingEngines[1] = 0;
    for (SimulatedEngine engine : engines) {
      if (engine.accepting) {
        acceptingEngines[sideOf(engine.zone)]++;
        inFlight[sideOf(engine.zone)] += engine.inFlight();
      }
    }
  }

  /** Returns the exact mean load on a side, including the request that is being placed. */
  double meanLoadWithNewRequest(int side) {
    return (inFlight[side] + 1.0) / Math.max(1, acceptingEngines[side]);
  }

  /**
   * Runs a request on an engine. After the warm-up, records the engine's load ratio and the reuse
   * of cached tokens.
   */
  void admit(SimulatedEngine engine, BenchRequest request, Runnable onEnd, Runnable onLost) {
    int side = sideOf(engine.zone);
    if (time.nowMicros() >= settings.warmupMicros()) {
      double ratio = engine.inFlight() / meanLoadWithNewRequest(side);
      double wholeServiceMean =
          (inFlight[0] + inFlight[1] + 1.0)
              / Math.max(1, acceptingEngines[0] + acceptingEngines[1]);
      worstLoadRatio = Math.max(worstLoadRatio, ratio);
      worstLoadRatioWholeService =
          Math.max(worstLoadRatioWholeService, engine.inFlight() / wholeServiceMean);
      loadRatios.recordValue(Math.round(ratio * RATIO_UNITS_PER_ONE));
      promptTokens += request.promptTokens();
      reusedTokens += Math.min(request.promptTokens(), engine.cachedPrefixTokens(request.chat()));
    }
    inFlight[side]++;
    engine.admit(
        new SimulatedEngine.Job(
            request,
            () -> {
              if (engine.accepting) {
                inFlight[sideOf(engine.zone)]--;
              }
              onEnd.run();
            },
            onLost));
  }

  void countArrival() {
    arrivals += time.nowMicros() >= settings.warmupMicros() ? 1 : 0;
  }

  void countRefusal() {
    refusals += time.nowMicros() >= settings.warmupMicros() ? 1 : 0;
  }

  /** Returns the one-way network latency between two zones in microseconds. */
  static long latencyMicros(int zoneA, int zoneB) {
    return zoneA == zoneB ? 500 : 1_500;
  }

  PolicyResult result(String policy, double controlBytes, double nanos) {
    return new PolicyResult(
        policy,
        promptTokens == 0 ? 0 : (double) reusedTokens / promptTokens,
        worstLoadRatio,
        loadRatios.getTotalCount() == 0
            ? 0
            : loadRatios.getValueAtPercentile(99) / RATIO_UNITS_PER_ONE,
        worstLoadRatioWholeService,
        arrivals == 0 ? 0 : (double) refusals / arrivals,
        arrivals,
        controlBytes,
        nanos);
  }
}
