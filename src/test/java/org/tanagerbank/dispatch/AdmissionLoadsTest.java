package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.admission.AdmissionDecision.Verdict;
import org.tanagerbank.admission.SizeClass;
import org.tanagerbank.dispatch.AdmissionSimulation.Job;
import org.tanagerbank.dispatch.AdmissionSimulation.Kind;
import org.tanagerbank.dispatch.AdmissionSimulation.Load;

/**
 * Guards against overloads in which requests wait in engines until their callers give up, and
 * against admission that refuses without need or starves a group of requests.
 */
final class AdmissionLoadsTest {
  /** The share of all requests that is served, of which each group must get this part. */
  private static final double MIN_PART = 0.25;

  /** Twice the standard error of the difference between two shares of some 600 requests each. */
  private static final double CHANCE = 0.035;

  private static final int SEEDS = 5;

  private record Outcome(List<Job> jobs, Map<Verdict, Integer> verdicts) {
    private static Outcome of(Load load, boolean admits) {
      Outcome sum = new Outcome(new ArrayList<>(), new EnumMap<>(Verdict.class));
      for (int seed = 1; seed <= SEEDS; seed++) {
        AdmissionSimulation run = new AdmissionSimulation(load, admits, seed).run();
        sum.jobs.addAll(run.jobs);
        run.verdicts.forEach((v, n) -> sum.verdicts.merge(v, n, Integer::sum));
      }
      return sum;
    }
  }

  private static Load load(String name) {
    return switch (name) {
      case "burst of 2.6 times of the large kind" -> new Load(2.6, 1, 1, 0, 0);
      case "one workspace at 7.5 times its usual" -> new Load(1, 7.5, 1, 0, 0);
      case "callers that repeat three times at once" -> new Load(1, 1, 1.8, 3, 0);
      case "half of the upstreams lost" -> new Load(1, 1, 1, 0, AdmissionSimulation.ENGINES / 2);
      default -> throw new IllegalArgumentException(name);
    };
  }

  private static List<Job> changed(Outcome run) {
    return run.jobs().stream().filter(j -> j.atMillis >= 10_000 && j.atMillis < 30_000).toList();
  }

  private static double servedShare(List<Job> jobs) {
    return (double) jobs.stream().filter(j -> j.isAnswered).count() / jobs.size();
  }

  private static double inTimeShare(List<Job> jobs) {
    return jobs.stream().mapToDouble(j -> j.value(0)).average().orElse(0);
  }

  private static Map<String, List<Job>> groups(List<Job> jobs, Function<Job, String> group) {
    return jobs.stream().collect(Collectors.groupingBy(group, TreeMap::new, Collectors.toList()));
  }

  private static final List<Function<Job, String>> GROUPS =
      List.of(
          j -> "kind " + j.kind.name(),
          j -> "workspace " + j.workspace,
          j -> "size " + SizeClass.ofTokens(j.kind.tokens()));

  private static void print(String name, String mode, Outcome run) {
    List<Job> jobs = changed(run);
    System.out.printf(
        "%s, %s: %s value %.0f..%.0f",
        name, mode, run.verdicts(), value(run, 0.1), value(run, 0.5));
    for (Function<Job, String> group : GROUPS) {
      groups(jobs, group)
          .forEach(
              (g, j) -> System.out.printf(" | %s %.2f/%.2f", g, servedShare(j), inTimeShare(j)));
    }
    System.out.println();
  }

  private static double value(Outcome run, double late) {
    return run.jobs().stream().mapToDouble(j -> j.value(late)).sum();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "burst of 2.6 times of the large kind",
        "one workspace at 7.5 times its usual",
        "callers that repeat three times at once",
        "half of the upstreams lost"
      })
  void admissionRaisesTheValueAndStarvesNobody(String name) {
    Outcome without = Outcome.of(load(name), false);
    Outcome with = Outcome.of(load(name), true);
    print(name, "without", without);
    print(name, "with", with);
    assertThat(value(with, 0.1)).isAtLeast(value(without, 0.1));
    assertThat(value(with, 0.5)).isAtLeast(value(without, 0.5));
    for (long from : new long[] {10_000, 20_000}) {
      List<Job> window =
          with.jobs().stream()
              .filter(j -> j.atMillis >= from && j.atMillis < from + 10_000)
              .toList();
      for (Function<Job, String> group : GROUPS) {
        groups(window, group)
            .forEach(
                (g, jobs) ->
                    assertWithMessage(g)
                        .that(servedShare(jobs))
                        .isAtLeast(MIN_PART * servedShare(window)));
      }
      double moreUrgent = 1;
      for (Kind kind : AdmissionSimulation.KINDS) {
        double share = servedShare(window.stream().filter(j -> j.kind == kind).toList());
        assertWithMessage(kind.name()).that(share).isAtMost(moreUrgent + CHANCE);
        moreUrgent = share;
      }
    }
  }

  @Test
  void nothingIsRefusedInOrdinaryLoad() {
    Outcome run = Outcome.of(Load.ORDINARY, true);
    print("ordinary load", "with", run);
    assertThat(run.verdicts().keySet()).containsExactly(Verdict.SEND);
  }
}
