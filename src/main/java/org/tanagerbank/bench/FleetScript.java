package org.tanagerbank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.tanagerbank.machine.Upstream;

/**
 * Plays the events of a scenario on a fleet: joins, leaves, crashes, cuts, and the instance lists
 * of the entries, which follow late. The same seed gives the same events for every policy.
 *
 * <p>Not thread-safe.
 */
final class FleetScript {
  /** A sidecar reports before its engine accepts work, so that the mean already counts it. */
  static final long ANNOUNCE_MICROS = 500_000;

  private static final long SECOND = 1_000_000;

  private final Fleet fleet;
  private final BenchSettings settings;
  private final Policy policy;
  private final SplittableRandom random;
  private final List<TreeMap<Integer, Upstream>> views = new ArrayList<>();
  private final List<FakeEngine> stable = new ArrayList<>();
  private final long longestListDelay;

  FleetScript(Fleet fleet, Policy policy) {
    this.fleet = fleet;
    this.settings = fleet.settings;
    this.policy = policy;
    this.random = new SplittableRandom(settings.seed() * 17 + 3);
    this.longestListDelay =
        settings.scenario() == BenchScenario.DISAGREEMENT ? 8 * SECOND : 2 * SECOND;
  }

  /** Starts the first engines and schedules all events of the run. */
  void start() {
    for (int e = 0; e < settings.entries(); e++) {
      views.add(new TreeMap<>());
    }
    for (FakeEngine engine : fleet.engines) {
      fleet.start(engine);
      policy.started(engine);
      accept(engine);
      views.forEach(v -> v.put(engine.index, engine.upstream));
      stable.add(engine);
    }
    for (int e = 0; e < views.size(); e++) {
      policy.viewChanged(e, views.get(e).values());
    }
    switch (settings.scenario()) {
      case CHURN -> every(churnMicros(), this::churn);
      case DISAGREEMENT -> {
        every(churnMicros(), this::churn);
        every(Math.max(SECOND / 2, 8 * SECOND / settings.entries()), this::hideOne);
      }
      case PARTITION -> partition();
      default -> {
        // The other scenarios do not change the fleet.
      }
    }
  }

  private long churnMicros() {
    return (long) (settings.churnSeconds() * SECOND);
  }

  private void every(long micros, Runnable event) {
    for (long at = settings.warmupMicros() / 2; at < settings.endMicros(); at += micros) {
      fleet.time.at(at + random.nextLong(micros), event);
    }
  }

  private void churn() {
    if (stable.size() < 2 || stable.size() <= settings.upstreams() * 2 / 3) {
      return;
    }
    FakeEngine engine = stable.remove(random.nextInt(stable.size()));
    double kind = random.nextDouble();
    if (kind < 0.35) {
      crash(engine);
      fleet.time.after(seconds(10, 40), () -> restart(engine, true));
    } else if (kind < 0.75) {
      leave(engine);
      FakeEngine next = fleet.add();
      fleet.time.after(seconds(1, 5), () -> restart(next, true));
    } else {
      flap(engine, 3);
    }
  }

  private long seconds(int from, int to) {
    return from * SECOND + random.nextLong((to - from) * SECOND);
  }

  private void flap(FakeEngine engine, int times) {
    crash(engine);
    fleet.time.after(seconds(1, 3), () -> restart(engine, times == 1));
    if (times > 1) {
      fleet.time.after(seconds(5, 9), () -> flap(engine, times - 1));
    }
  }

  private void restart(FakeEngine engine, boolean thenStable) {
    fleet.start(engine);
    policy.started(engine);
    fleet.time.after(
        ANNOUNCE_MICROS,
        () -> {
          accept(engine);
          if (thenStable) {
            stable.add(engine);
          }
        });
    list(engine, true);
  }

  private void accept(FakeEngine engine) {
    fleet.accept(engine);
    policy.accepting(engine);
  }

  private void crash(FakeEngine engine) {
    fleet.leave(engine);
    policy.crashed(engine);
    engine.crash();
    list(engine, false);
  }

  private void leave(FakeEngine engine) {
    fleet.leave(engine);
    policy.leaving(engine);
    list(engine, false);
  }

  /** Updates the list of each entry after a delay of its own, if nothing newer has happened. */
  private void list(FakeEngine engine, boolean live) {
    long incarnation = engine.upstream.incarnation();
    for (int e = 0; e < views.size(); e++) {
      int entry = e;
      long delay = ANNOUNCE_MICROS + random.nextLong(longestListDelay);
      fleet.time.after(
          delay,
          () -> {
            boolean present = live && engine.up;
            if (engine.upstream.incarnation() == incarnation || !live) {
              show(entry, engine, present);
            }
          });
    }
  }

  private void show(int entry, FakeEngine engine, boolean present) {
    if (!fleet.connected(policy.zoneOfEntry(entry), engine.zone) && present) {
      return;
    }
    if (present) {
      views.get(entry).put(engine.index, engine.upstream);
    } else if (!engine.accepting) {
      views.get(entry).remove(engine.index);
    }
    policy.viewChanged(entry, views.get(entry).values());
  }

  /** Hides an engine from the list of one entry for some seconds. */
  private void hideOne() {
    int entry = random.nextInt(views.size());
    FakeEngine engine = fleet.engines.get(random.nextInt(fleet.engines.size()));
    long back = seconds(2, 6);
    if (views.get(entry).size() > 1 && views.get(entry).remove(engine.index) != null) {
      policy.viewChanged(entry, views.get(entry).values());
      fleet.time.after(
          back,
          () -> {
            if (engine.accepting) {
              show(entry, engine, true);
            }
          });
    }
  }

  private void partition() {
    fleet.time.at(settings.instant(0.35), this::cut);
    fleet.time.at(settings.instant(0.65), this::heal);
  }

  private void cut() {
    fleet.setCut(true);
    policy.cut();
    fleet.time.after(
        RoutedPolicy.SILENCE_MICROS,
        () -> {
          for (int e = 0; e < views.size(); e++) {
            int zone = policy.zoneOfEntry(e);
            views.get(e).values().removeIf(u -> !fleet.connected(zone, fleet.engineOf(u).zone));
            policy.viewChanged(e, views.get(e).values());
          }
        });
  }

  private void heal() {
    fleet.setCut(false);
    policy.healed();
    for (int e = 0; e < views.size(); e++) {
      int entry = e;
      fleet.time.after(
          SECOND / 10 + random.nextLong(SECOND),
          () -> {
            fleet.engines.stream()
                .filter(g -> g.accepting)
                .forEach(g -> views.get(entry).put(g.index, g.upstream));
            policy.viewChanged(entry, views.get(entry).values());
          });
    }
  }
}
