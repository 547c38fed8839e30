package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerbank.soak.OverloadPlan.Fault;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/**
 * Checks the promises to callers and the limits of retries while engines are full, callers retry
 * too often, and processes, links and engines fail at random.
 *
 * <p>They could break when refusals and responses of engines are taken for those of other requests,
 * and when gateways that start and stop count retries differently than engines do. {@code
 * -Dsoak.seeds=1-50} and {@code -Dsoak.seconds=30} select other seeds and another length of the
 * traffic; {@code -Dsoak.broken-engines=true} makes engines break their own promise. By default the
 * seeds in soak-overload-seeds.txt run; each of them has failed once or represents the others.
 */
@Timeout(900)
final class OverloadSoakIT {
  private static final long TRAFFIC_SECONDS = Long.getLong("soak.seconds", 10);
  private static final boolean HAS_BROKEN_ENGINES = Boolean.getBoolean("soak.broken-engines");
  private static final int EXAMPLES_PER_RULE = 2;
  private static final RetryWindowRule RETRY_WINDOW_RULE =
      new RetryWindowRule(
          OverloadFleet.RETRIES.ratio(),
          TimeUnit.SECONDS.toMicros(OverloadFleet.RETRIES.windowSeconds()),
          OverloadFleet.RETRIES.slack());
  private static final File LOGS = new File("target/process-logs/soak-overload");

  @TempDir private Path folder;

  /** What callers and engines saw in a run. */
  private record Observations(
      List<ObservedRequest> requests, List<RunRecord> events, Interruptions interruptions) {
    List<Violation> violations() {
      List<Violation> violations = new ArrayList<>();
      violations.addAll(
          new RequestRules(interruptions, OverloadEngineOptions.TOKENS_PER_EVENT)
              .check(requests, events));
      new DeadlineRule(interruptions).check(requests, events).ifPresent(violations::add);
      violations.addAll(RETRY_WINDOW_RULE.check(requests, events));
      violations.addAll(new NoticeRule(interruptions).check(requests, events));
      violations.addAll(new LimitWindowRule(interruptions).check(requests, events));
      return violations;
    }

    /** Returns the numbers that show whether the run reached what it is about. */
    String summary(List<Violation> violations) {
      Map<String, Long> responses =
          requests.stream()
              .collect(
                  groupingBy(
                      r -> r.response().outcome() + " " + r.response().status(),
                      TreeMap::new,
                      counting()));
      Map<RunEvent, Long> kinds =
          events.stream().collect(groupingBy(RunRecord::event, TreeMap::new, counting()));
      return String.format(
          "%s, engines %s, %s, violations %s",
          responses,
          kinds,
          RETRY_WINDOW_RULE.worstWindows(requests, events),
          countsByRule(violations));
    }

    private static Map<Rule, Long> countsByRule(List<Violation> violations) {
      return violations.stream().collect(groupingBy(Violation::rule, TreeMap::new, counting()));
    }
  }

  static LongStream seeds() throws Exception {
    return SoakSeeds.read("soak-overload-seeds.txt");
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void promisesHoldUnderOverloadAndFaults(long seed) throws Exception {
    LOGS.mkdirs();
    OverloadPlan plan = OverloadPlan.generate(seed, TimeUnit.SECONDS.toMillis(TRAFFIC_SECONDS));
    EngineFaultSets faults =
        HAS_BROKEN_ENGINES ? EngineFaultSets.REFUSED_AFTER_PREEMPTION : EngineFaultSets.ALLOWED;
    try (OverloadFleet fleet = new OverloadFleet(folder, LOGS, seed, faults)) {
      fleet.executor().execute(fleet.supervisor());
      Observations observations = play(fleet, plan, seed);
      List<Violation> violations = observations.violations();
      System.out.println(
          "overload soak seed "
              + seed
              + ": "
              + plan.faults().size()
              + " faults, "
              + observations.summary(violations));
      Files.write(
          LOGS.toPath().resolve("violations-" + seed + ".txt"),
          violations.stream().map(Violation::toString).toList());
      String message = String.format("seed %s, plan %s", seed, plan);
      assertWithMessage("failures of the fleet, %s", message).that(fleet.failures()).isEmpty();
      assertWithMessage("violations %s, %s", Observations.countsByRule(violations), message)
          .that(examples(violations))
          .isEmpty();
    }
  }

  /** Returns a few violations of each rule. */
  private static List<Violation> examples(List<Violation> violations) {
    return violations.stream().collect(groupingBy(Violation::rule)).values().stream()
        .flatMap(ofRule -> ofRule.stream().limit(EXAMPLES_PER_RULE))
        .toList();
  }

  private static Observations play(OverloadFleet fleet, OverloadPlan plan, long seed)
      throws Exception {
    OverloadCallers callers = new OverloadCallers(fleet, plan, seed);
    callers.awaitAvailability();
    callers.start();
    long startNanos = System.nanoTime();
    List<Future<?>> faults = new ArrayList<>();
    for (Fault fault : plan.faults()) {
      long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      Thread.sleep(Math.max(0, fault.atMillis() - elapsedMillis));
      faults.add(fleet.executor().submit(() -> fleet.inject(fault)));
    }
    for (Future<?> fault : faults) {
      fault.get();
    }
    List<ObservedRequest> requests = callers.stop();
    fleet.stopEngines();
    return new Observations(requests, EngineRecords.read(fleet.record()), fleet.interruptions());
  }
}
