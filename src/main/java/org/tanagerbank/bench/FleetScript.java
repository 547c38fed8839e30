package org.tanagerbank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.tanagerbank.instance.Upstream;

/**
 * Schedules the events of a scenario: joins, departures and crashes of engines, partitions, and the
 * delayed updates of the entries' instance lists.
 *
 * <p>The same seed produces the same events for every policy. Not thread-safe.
 */
final class FleetScript {
  /**
   * The time by which a sidecar's first report precedes the start of work on its engine, so that
   * the mean load already includes the engine.
   */
  static final long ANNOUNCEMENT_LEAD_MICROS = 500_000;

  private static final long MICROS_PER_SECOND = 1_000_000;

  private final SimulatedFleet fleet;
  private final BenchSettings settings;
  private final Policy policy;
  private final SplittableRandom random;

  /** The instance list of each entry: upstreams by the index of their engine. */
  private final List<TreeMap<Integer, Upstream>> instanceLists = new ArrayList<>();

  /** The accepting engines that no scheduled crash, restart or departure affects. */
  private final List<SimulatedEngine> stableEngines = new ArrayList<>();

  private final long maxListDelayMicros;

  FleetScript(SimulatedFleet fleet, Policy policy) {
    this.fleet = fleet;
    this.settings = fleet.settings;
    this.policy = policy;
    this.random = new SplittableRandom(settings.seed() * 17 + 3);
    this.maxListDelayMicros =
        settings.scenario() == BenchScenario.DISAGREEMENT
            ? 8 * MICROS_PER_SECOND
            : 2 * MICROS_PER_SECOND;
  }

  /** Starts the initial engines and schedules all events of the run. */
  void start() {
    for (int e = 0; e < settings.entries(); e++) {
      instanceLists.add(new TreeMap<>());
    }
    for (SimulatedEngine engine : fleet.engines) {
      fleet.start(engine);
      policy.engineStarted(engine);
      accept(engine);
      instanceLists.forEach(v -> v.put(engine.index, engine.upstream));
      stableEngines.add(engine);
    }
    for (int e = 0; e < instanceLists.size(); e++) {
      policy.instanceListChanged(e, instanceLists.get(e).values());
    }
    switch (settings.scenario()) {
      case CHURN -> schedulePeriodically(churnMicros(), this::changeRandomEngine);
      case DISAGREEMENT -> {
        schedulePeriodically(churnMicros(), this::changeRandomEngine);
        schedulePeriodically(
            Math.max(MICROS_PER_SECOND / 2, 8 * MICROS_PER_SECOND / settings.entries()),
            this::hideRandomEngine);
      }
      case PARTITION -> schedulePartition();
      default -> {
        // The other scenarios do not change the fleet.
      }
    }
  }

  private long churnMicros() {
    return (long) (settings.churnSeconds() * MICROS_PER_SECOND);
  }

  private void schedulePeriodically(long micros, Runnable event) {
    for (long at = settings.warmupMicros() / 2; at < settings.endMicros(); at += micros) {
      fleet.time.at(at + random.nextLong(micros), event);
    }
  }

  private void changeRandomEngine() {
    if (stableEngines.size() < 2 || stableEngines.size() <= settings.upstreams() * 2 / 3) {
      return;
    }
    SimulatedEngine engine = stableEngines.remove(random.nextInt(stableEngines.size()));
    double draw = random.nextDouble();
    if (draw < 0.35) {
      crash(engine);
      fleet.time.after(randomMicros(10, 40), () -> restart(engine, true));
    } else if (draw < 0.75) {
      leave(engine);
      SimulatedEngine replacement = fleet.add();
      fleet.time.after(randomMicros(1, 5), () -> restart(replacement, true));
    } else {
      flap(engine, 3);
    }
  }

  private long randomMicros(int from, int to) {
    return from * MICROS_PER_SECOND + random.nextLong((to - from) * MICROS_PER_SECOND);
  }

  private void flap(SimulatedEngine engine, int times) {
    crash(engine);
    fleet.time.after(randomMicros(1, 3), () -> restart(engine, times == 1));
    if (times > 1) {
      fleet.time.after(randomMicros(5, 9), () -> flap(engine, times - 1));
    }
  }

  private void restart(SimulatedEngine engine, boolean becomesStable) {
    fleet.start(engine);
    policy.engineStarted(engine);
    fleet.time.after(
        ANNOUNCEMENT_LEAD_MICROS,
        () -> {
          accept(engine);
          if (becomesStable) {
            stableEngines.add(engine);
          }
        });
    scheduleListUpdates(engine, true);
  }

  private void accept(SimulatedEngine engine) {
    fleet.startAccepting(engine);
    policy.engineAccepting(engine);
  }

  private void crash(SimulatedEngine engine) {
    fleet.stopAccepting(engine);
    policy.engineCrashed(engine);
    engine.crash();
    scheduleListUpdates(engine, false);
  }

  private void leave(SimulatedEngine engine) {
    fleet.stopAccepting(engine);
    policy.engineLeaving(engine);
    scheduleListUpdates(engine, false);
  }

  /**
   * Updates the instance list of each entry after a random delay per entry. A start is dropped if
   * the engine has a newer incarnation by then, and a removal if the engine accepts work again.
   */
  private void scheduleListUpdates(SimulatedEngine engine, boolean live) {
    long incarnation = engine.upstream.incarnation();
    for (int e = 0; e < instanceLists.size(); e++) {
      int entry = e;
      long delayMicros = ANNOUNCEMENT_LEAD_MICROS + random.nextLong(maxListDelayMicros);
      fleet.time.after(
          delayMicros,
          () -> {
            boolean present = live && engine.up;
            if (engine.upstream.incarnation() == incarnation || !live) {
              updateList(entry, engine, present);
            }
          });
    }
  }

  private void updateList(int entry, SimulatedEngine engine, boolean present) {
    if (!fleet.isConnected(policy.zoneOfEntry(entry), engine.zone) && present) {
      return;
    }
    if (present) {
      instanceLists.get(entry).put(engine.index, engine.upstream);
    } else if (!engine.accepting) {
      instanceLists.get(entry).remove(engine.index);
    }
    policy.instanceListChanged(entry, instanceLists.get(entry).values());
  }

  /** Hides a random engine from one entry's instance list for 2 to 6 seconds. */
  private void hideRandomEngine() {
    int entry = random.nextInt(instanceLists.size());
    SimulatedEngine engine = fleet.engines.get(random.nextInt(fleet.engines.size()));
    long delayMicros = randomMicros(2, 6);
    if (instanceLists.get(entry).size() > 1
        && instanceLists.get(entry).remove(engine.index) != null) {
      policy.instanceListChanged(entry, instanceLists.get(entry).values());
      fleet.time.after(
          delayMicros,
          () -> {
            if (engine.accepting) {
              updateList(entry, engine, true);
            }
          });
    }
  }

  private void schedulePartition() {
    fleet.time.at(settings.instantMicros(0.35), this::startPartition);
    fleet.time.at(settings.instantMicros(0.65), this::endPartition);
  }

  private void startPartition() {
    fleet.setPartitioned(true);
    policy.partitionStarted();
    fleet.time.after(
        RoutedPolicy.LINK_TIMEOUT_MICROS,
        () -> {
          for (int e = 0; e < instanceLists.size(); e++) {
            int zone = policy.zoneOfEntry(e);
            instanceLists
                .get(e)
                .values()
                .removeIf(u -> !fleet.isConnected(zone, fleet.engineOf(u).zone));
            policy.instanceListChanged(e, instanceLists.get(e).values());
          }
        });
  }

  private void endPartition() {
    fleet.setPartitioned(false);
    policy.partitionEnded();
    for (int e = 0; e < instanceLists.size(); e++) {
      int entry = e;
      fleet.time.after(
          MICROS_PER_SECOND / 10 + random.nextLong(MICROS_PER_SECOND),
          () -> {
            fleet.engines.stream()
                .filter(engine -> engine.accepting)
                .forEach(engine -> instanceLists.get(entry).put(engine.index, engine.upstream));
            policy.instanceListChanged(entry, instanceLists.get(entry).values());
          });
    }
  }
}
