package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerbank.dispatch.SimulatedUpstream.Run;

/**
 * Plays random histories with deadly requests, innocent ones, ends of upstreams and of racks, and
 * gateways that restart, are added, paused or cut off.
 *
 * <p>Guards against a deadly request that is sent on, and against innocent requests that are
 * refused for it, in combinations that nobody thought of. {@code -Ddeadly.seeds=1-500} plays other
 * histories.
 */
final class DeadlyRequestHistoriesTest {
  private static final int MAX_LATE_RETRIES = 3;
  private static final long DAY_MILLIS = 40_000;
  private static final long CALM_MILLIS = 10_000;
  private static final int STEP_MILLIS = 50;

  static LongStream seeds() {
    String[] ends = System.getProperty("deadly.seeds", "1-40").split("-");
    return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1]));
  }

  private final List<Call> retried = new ArrayList<>();
  private SplittableRandom random;
  private DispatchSimulation fleet;
  private GatewayFaults faults;

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void deadlyRequestsAreStoppedAndInnocentOnesServed(long seed) {
    random = new SplittableRandom(seed);
    fleet =
        new DispatchSimulation(
            2 + random.nextInt(6),
            3 + random.nextInt(7),
            random.nextBoolean(),
            upstream -> anyVersion());
    faults = new GatewayFaults(fleet, 10);
    fleet.setLossShare(random.nextInt(3) * 0.03);
    int deadlyPeriod = STEP_MILLIS * (1 + random.nextInt(40));
    int deadlyAtOnce = 1 + random.nextInt(fleet.gatewayCount());
    int deadlyContents = 1 + random.nextInt(2);
    String deadlyPath = random.nextBoolean() ? "/safe/x" : "/once/x";
    selectDeadlyRule();
    long start = fleet.nowMillis();
    while (fleet.nowMillis() - start < DAY_MILLIS) {
      if (fleet.nowMillis() - start < DAY_MILLIS - CALM_MILLIS && random.nextInt(30) == 0) {
        injectFault();
      }
      if (fleet.nowMillis() % deadlyPeriod < STEP_MILLIS) {
        String body = SimulatedUpstream.DEADLY + random.nextInt(deadlyContents);
        IntStream.range(0, deadlyAtOnce).forEach(i -> fleet.send(anyGateway(), deadlyPath, body));
      }
      sendInnocents();
      fleet.advance(STEP_MILLIS);
      faults.endDue();
    }
    fleet.advance(5_000);
    check(seed);
  }

  /** Lets requests be deadly from the start, after some runs, or at upstreams of one version. */
  private void selectDeadlyRule() {
    DeadlyRule rule =
        switch (random.nextInt(3)) {
          case 0 -> DeadlyRule.ALWAYS;
          case 1 -> DeadlyRule.afterRuns(1 + random.nextInt(20));
          default -> DeadlyRule.atVersion("v2");
        };
    fleet.upstreams().forEach(u -> u.setDeadlyRule(rule));
  }

  private String anyVersion() {
    return random.nextBoolean() ? "v1" : "v2";
  }

  private int anyGateway() {
    return random.nextInt(fleet.gatewayCount());
  }

  private void injectFault() {
    int gateway = anyGateway();
    long until = fleet.nowMillis() + 500 + random.nextInt(5_000);
    int kind = random.nextInt(GatewayFaults.KINDS + 2);
    switch (kind) {
      case 0, 1, 2, 3 -> faults.inject(kind, gateway, until);
      case 4 -> replace(fleet.upstreams().get(random.nextInt(fleet.upstreams().size())));
      default ->
          fleet
              .upstreams()
              .subList(0, 1 + random.nextInt(fleet.upstreams().size()))
              .forEach(u -> u.crash(fleet.nowMillis()));
    }
  }

  /** Ends an upstream, which starts again with any software version. */
  private void replace(SimulatedUpstream upstream) {
    upstream.setNextVersion(anyVersion());
    upstream.crash(fleet.nowMillis());
  }

  /** Sends new contents and one that many callers share; callers repeat what failed, once. */
  private void sendInnocents() {
    for (int i = 0; i < 3; i++) {
      fleet.send(anyGateway(), "/safe/n", "innocent " + random.nextInt(200));
    }
    fleet.send(anyGateway(), "/safe/n", "shared");
    List<Call> failed =
        fleet.calls().stream()
            .skip(Math.max(0, fleet.calls().size() - 60))
            .filter(c -> c.status == 502 && !c.body.startsWith(SimulatedUpstream.DEADLY))
            .filter(c -> !retried.contains(c))
            .toList();
    retried.addAll(failed);
    failed.forEach(c -> fleet.send(anyGateway(), "/safe/n", c.body));
  }

  private void check(long seed) {
    List<Call> innocent =
        fleet.calls().stream().filter(c -> !c.body.startsWith(SimulatedUpstream.DEADLY)).toList();
    assertWithMessage("seed %s: innocent requests that were refused", seed)
        .that(innocent.stream().filter(Call::wasQuarantined).toList())
        .isEmpty();
    for (String body : List.of("deadly0", "deadly1")) {
      List<Run> runs = fleet.deadlyRuns().stream().filter(r -> r.body().equals(body)).toList();
      assertWithMessage("seed %s: late retries of %s among %s", seed, body, runs)
          .that(Run.lateRetries(runs).size())
          .isAtMost(MAX_LATE_RETRIES);
    }
    PromiseCheck.assertPromisesKept(fleet);
    long calmFrom = fleet.nowMillis() - 5_000 - CALM_MILLIS / 2;
    boolean isCalm =
        fleet.deadlyRuns().stream()
            .noneMatch(
                r ->
                    r.endsUpstream()
                        && r.atMillis() > calmFrom - SimulatedUpstream.RESTART_MILLIS - 1_000);
    if (!isCalm) {
      // A request that became deadly late may have ended all upstreams of a small fleet.
      return;
    }
    assertWithMessage("seed %s: innocent requests that were not served in the calm", seed)
        .that(innocent.stream().filter(c -> c.sentAtMillis > calmFrom && c.status != 200).toList())
        .isEmpty();
  }
}
