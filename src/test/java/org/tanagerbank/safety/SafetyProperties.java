package org.tanagerbank.safety;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks the safety guarantees to callers in simulated histories of faults: a request that must not
 * run twice runs at most once, a request that is reported as not run has no run, and a successful
 * response is the complete answer to the caller's own request.
 *
 * <p>The guarantees could break when messages are delayed, reordered, duplicated or lost while
 * sidecars, engines and entries crash or freeze. Entry flow, ledger, quarantine and admission are
 * the production code. The system property {@code tanagerbank.histories} sets the number of seeded
 * histories; its default is 20,000.
 */
final class SafetyProperties {
  private static final int MAX_STEPS = 90;
  private static final int MAX_SELECTOR = 30;
  private static final int SEEDED_HISTORIES = Integer.getInteger("tanagerbank.histories", 20_000);
  private static final List<Step.Kind> WEIGHTED_KINDS = Step.Kind.weightedValues();

  @Property(tries = 5_000, seed = "20261203", maxDiscardRatio = 1)
  void guaranteesHoldInGeneratedHistories(@ForAll("histories") List<Step> history) {
    assertThat(run(history)).isEmpty();
  }

  @Test
  void guaranteesHoldInSeededHistories() {
    for (int seed = 1; seed <= SEEDED_HISTORIES; seed++) {
      List<Step> history = history(seed);
      if (run(history).isPresent()) {
        List<Step> shrunk = shrink(history);
        assertWithMessage("violation in the history of seed %s, shrunk to %s", seed, shrunk)
            .that(run(shrunk))
            .isEmpty();
      }
    }
  }

  /** Shows that the oracle detects the absence of each rule within 50,000 histories. */
  @ParameterizedTest
  @EnumSource(Rule.class)
  void oracleDetectsDisabledRule(Rule rule) {
    int seed = 1;
    while (seed <= 50_000 && run(history(seed), rule).isEmpty()) {
      seed++;
    }
    assertWithMessage("number of the first history with a violation while " + rule + " is disabled")
        .that(seed)
        .isAtMost(50_000);
  }

  @Provide
  Arbitrary<List<Step>> histories() {
    Arbitrary<Integer> selector = Arbitraries.integers().between(0, MAX_SELECTOR);
    return Combinators.combine(Arbitraries.of(WEIGHTED_KINDS), selector, selector, selector)
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(MAX_STEPS);
  }

  private static Optional<String> run(List<Step> history, Rule... disabledRules) {
    FleetSimulation fleet = new FleetSimulation(disabledRules);
    history.forEach(fleet::apply);
    return fleet.recoverAndCheck();
  }

  /**
   * Returns a shorter history that still violates a guarantee, in which no single step can be left
   * out.
   */
  private static List<Step> shrink(List<Step> failingHistory) {
    List<Step> shrunk = new ArrayList<>(failingHistory);
    for (int i = shrunk.size() - 1; i >= 0; i--) {
      Step removedStep = shrunk.remove(i);
      if (run(shrunk).isEmpty()) {
        shrunk.add(i, removedStep);
      } else {
        i = shrunk.size();
      }
    }
    return shrunk;
  }

  private static List<Step> history(int seed) {
    Random random = new Random(seed);
    List<Step> steps = new ArrayList<>();
    int count = 20 + random.nextInt(MAX_STEPS - 20);
    for (int i = 0; i < count; i++) {
      steps.add(
          new Step(
              WEIGHTED_KINDS.get(random.nextInt(WEIGHTED_KINDS.size())),
              random.nextInt(MAX_SELECTOR),
              random.nextInt(MAX_SELECTOR),
              random.nextInt(MAX_SELECTOR)));
    }
    return steps;
  }
}
