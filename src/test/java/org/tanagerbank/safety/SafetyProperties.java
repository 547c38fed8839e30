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
 * Guards the promises to callers: at most one run of a request that must not run twice, none of a
 * request that is reported as not run, and only whole answers to the caller's own request.
 *
 * <p>Entry flow, ledger, quarantine and admission are the production code. More histories are tried
 * with the system property {@code tanagerbank.histories}.
 */
final class SafetyProperties {
  private static final int MAX_STEPS = 90;
  private static final int MAX_NUMBER = 30;
  private static final int HISTORIES = Integer.getInteger("tanagerbank.histories", 20_000);
  private static final List<Step.Kind> KINDS = Step.Kind.weighted();

  @Property(tries = 5_000, seed = "20261203", maxDiscardRatio = 1)
  void promisesHold(@ForAll("histories") List<Step> history) {
    assertThat(run(history)).isEmpty();
  }

  @Test
  void promisesHoldInSeededHistories() {
    for (int seed = 1; seed <= HISTORIES; seed++) {
      List<Step> history = history(seed);
      if (run(history).isPresent()) {
        List<Step> shrunk = shrink(history);
        assertWithMessage("seed %s, shrunk to %s", seed, shrunk).that(run(shrunk)).isEmpty();
      }
    }
  }

  /** Shows that the oracle would notice that a rule is missing. */
  @ParameterizedTest
  @EnumSource(Rule.class)
  void absenceOfARuleIsNoticed(Rule rule) {
    int seed = 1;
    while (seed <= 50_000 && run(history(seed), rule).isEmpty()) {
      seed++;
    }
    assertWithMessage("histories without a violation").that(seed).isAtMost(50_000);
  }

  @Provide
  Arbitrary<List<Step>> histories() {
    Arbitrary<Integer> number = Arbitraries.integers().between(0, MAX_NUMBER);
    return Combinators.combine(Arbitraries.of(KINDS), number, number, number)
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(MAX_STEPS);
  }

  private static Optional<String> run(List<Step> history, Rule... removed) {
    World world = new World(removed);
    history.forEach(world::apply);
    return world.settle();
  }

  /** Leaves out steps as long as the history still fails. */
  private static List<Step> shrink(List<Step> failing) {
    List<Step> shrunk = new ArrayList<>(failing);
    for (int i = shrunk.size() - 1; i >= 0; i--) {
      Step left = shrunk.remove(i);
      if (run(shrunk).isEmpty()) {
        shrunk.add(i, left);
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
              KINDS.get(random.nextInt(KINDS.size())),
              random.nextInt(MAX_NUMBER),
              random.nextInt(MAX_NUMBER),
              random.nextInt(MAX_NUMBER)));
    }
    return steps;
  }
}
