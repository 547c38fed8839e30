package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays random histories with parts of prompts that end upstreams, sound requests that share other
 * parts with these, ends of upstreams and of racks, and faults of gateways.
 *
 * <p>Guards against a deadly part that is sent on, and against sound requests that are not served
 * for it, in combinations that nobody thought of. {@code -Dpart.seeds=1-500} plays other histories.
 */
final class DeadlyPartHistoriesTest {
  private static final long FAULTS_MILLIS = 15_000;
  private static final long DAY_MILLIS = 40_000;
  private static final int STEP_MILLIS = 25;

  /** The time after the last fault from which sound requests must be served. */
  private static final long SETTLED_MILLIS = 2 * PartRule.STABLE_MILLIS;

  private static final double MIN_SERVED_SHARE = 0.9;
  private static final String SOUND_PATH = "/safe/n";

  static LongStream seeds() {
    String[] ends = System.getProperty("part.seeds", "1-30").split("-");
    return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1]));
  }

  private SplittableRandom random;
  private DispatchSimulation fleet;
  private GatewayFaults faults;
  private long lastFaultMillis;
  private int sent;

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void deadlyPartsAreStoppedAndSoundRequestsServed(long seed) {
    random = new SplittableRandom(seed);
    fleet =
        new DispatchSimulation(2 + random.nextInt(7), 5 + random.nextInt(9), random.nextBoolean());
    faults = new GatewayFaults(fleet, 10);
    fleet.setLossShare(random.nextInt(3) * 0.03);
    long[] deadly = LongStream.rangeClosed(1, 1 + random.nextInt(2)).toArray();
    long deadlyFrom = fleet.nowMillis() + random.nextInt(2) * 6_000L;
    fleet
        .upstreams()
        .forEach(
            u -> {
              u.setDeadlyParts(DeadlyParts.of(deadly).from(deadlyFrom));
              u.setCrashMillis(2 + random.nextInt(150));
            });
    int place = random.nextInt(3);
    int deadlyPeriod = STEP_MILLIS * (1 + random.nextInt(80));
    int soundPeriod = STEP_MILLIS * (1 + random.nextInt(12));
    boolean hasFaults = random.nextBoolean();
    long start = fleet.nowMillis();
    while (fleet.nowMillis() - start < DAY_MILLIS) {
      boolean isFaulty = hasFaults && fleet.nowMillis() - start < FAULTS_MILLIS;
      if (isFaulty && random.nextInt(120) == 0) {
        injectFault();
      }
      if ((fleet.nowMillis() - start) % deadlyPeriod < STEP_MILLIS) {
        sendDeadly(deadly[random.nextInt(deadly.length)], place);
      }
      if ((fleet.nowMillis() - start) % soundPeriod < STEP_MILLIS) {
        sendSound();
      }
      fleet.advance(STEP_MILLIS);
      faults.endDue();
    }
    fleet.advance(5_000);
    PromiseCheck.assertPromisesKept(fleet);
    for (long part : deadly) {
      check(seed, part);
    }
  }

  private void sendDeadly(long part, int place) {
    long[] parts = {
      0xf0 + random.nextInt(2), 0x200 + random.nextInt(8), 0x300 + random.nextInt(40)
    };
    parts[place] = part;
    String path = random.nextBoolean() ? "/safe/x" : "/once/x";
    fleet.sendPrompt(
        random.nextInt(fleet.gatewayCount()), path, "x" + ++sent, prompt(parts, place + 1));
  }

  private void sendSound() {
    long[] parts = {
      0xf0 + random.nextInt(2), 0x200 + random.nextInt(8), 0x300 + random.nextInt(40)
    };
    fleet.sendPrompt(
        random.nextInt(fleet.gatewayCount()), SOUND_PATH, "n" + ++sent, prompt(parts, 1));
  }

  /** Returns a prompt with some of the given parts, and one of its own. */
  private SimulatedPrompt prompt(long[] parts, int minParts) {
    int shared = minParts + random.nextInt(parts.length - minParts + 1);
    return SimulatedPrompt.of(
        LongStream.concat(LongStream.of(parts).limit(shared), LongStream.of(0x1_0000 + sent))
            .toArray());
  }

  private void injectFault() {
    int gateway = random.nextInt(fleet.gatewayCount());
    long until = fleet.nowMillis() + 500 + random.nextInt(4_000);
    lastFaultMillis = until;
    int kind = random.nextInt(GatewayFaults.KINDS + 2);
    if (kind < GatewayFaults.KINDS) {
      faults.inject(kind, gateway, until);
    } else {
      int rack = 1 + random.nextInt(fleet.upstreams().size() / 2);
      fleet.upstreams().subList(0, rack).forEach(u -> u.crash(fleet.nowMillis()));
    }
  }

  private void check(long seed, long part) {
    List<UpstreamTraffic.Arrival> late = PartRule.lateArrivals(fleet, part);
    assertWithMessage(
            "seed %s: late requests with part %s after crashes at %s: %s",
            seed, part, PartRule.crashTimes(fleet, part), late)
        .that(late.size())
        .isAtMost(PartRule.MAX_LATE);
    if (PartRule.crashes(fleet, part) == 0) {
      return;
    }
    long from = Math.max(PartRule.soundFromMillis(fleet, part), lastFaultMillis + SETTLED_MILLIS);
    List<Call> calls =
        fleet.calls().stream()
            .filter(c -> c.path.equals(SOUND_PATH) && c.sentAtMillis > from)
            .toList();
    List<Call> unserved = calls.stream().filter(c -> c.status != 200).toList();
    assertWithMessage("seed %s: unserved of %s sound requests: %s", seed, calls.size(), unserved)
        .that((double) unserved.size())
        .isAtMost(Math.max(1, (1 - MIN_SERVED_SHARE) * calls.size()));
  }
}
