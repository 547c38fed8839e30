package org.tanagerbank.order;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Guards against an order of an older holder of the lease that takes effect after one of a newer
 * holder. This can happen when a process pauses between any two steps, for example between the
 * check of the lease and the order. Further tests disable one rule of the lease each, to show that
 * the assertions detect the fault that results.
 */
final class OrderLeaseProperties {
  private static final long SEED = 20261204;
  private static final int CHOICES = 16 * 8 * 12;
  private static final LeaseSimulation.Factory ALL_RULES =
      (upstream, incarnation) -> new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT);

  @Provide
  Arbitrary<List<Integer>> choices() {
    return Arbitraries.integers().between(0, CHOICES - 1).list().ofMinSize(50).ofMaxSize(600);
  }

  @Property(tries = 1_500, seed = "" + SEED)
  void ordersTakeEffectInFencingOrderAtEnginesThatIgnoreFencing(
      @ForAll("choices") List<Integer> choices) {
    runSimulation(new LeaseSimulation(ALL_RULES, false, true), choices);
  }

  @Property(tries = 1_500, seed = "" + SEED)
  void ordersTakeEffectInFencingOrderAtEnginesThatCheckFencing(
      @ForAll("choices") List<Integer> choices) {
    runSimulation(new LeaseSimulation(ALL_RULES, true, false), choices);
  }

  /**
   * An engine that ignores fencing numbers executes late orders when the pause after the check is
   * unbounded. The lease cannot prevent this, but the orders of the current holder must be the
   * last.
   */
  @Test
  void currentHolderRepeatsItsOrdersAfterLateOrder() {
    assertThat(countRunsWithLateOrders(ALL_RULES)).isGreaterThan(0);
  }

  @Test
  void detectsHolderThatDoesNotRepeatOrdersAfterLateOrder() {
    assertThrows(
        AssertionError.class,
        () ->
            countRunsWithLateOrders(
                (upstream, incarnation) ->
                    new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
                      @Override
                      public boolean consumeRepeatRequest() {
                        return false;
                      }
                    }));
  }

  /**
   * Returns the number of simulations in which an order took effect after one of a newer holder.
   */
  private static int countRunsWithLateOrders(LeaseSimulation.Factory factory) {
    Random random = new Random(SEED);
    int runsWithLateOrders = 0;
    for (int i = 0; i < 1_000; i++) {
      LeaseSimulation simulation = new LeaseSimulation(factory, false, false);
      random.ints(600, 0, CHOICES).forEach(simulation::runStep);
      runsWithLateOrders +=
          simulation.effectFencing().stream().sorted().toList().equals(simulation.effectFencing())
              ? 0
              : 1;
      simulation.runToConvergence();
    }
    return runsWithLateOrders;
  }

  private static void runSimulation(LeaseSimulation simulation, List<Integer> choices) {
    for (int choice : choices) {
      simulation.runStep(choice);
      simulation.checkEffectOrder();
    }
    simulation.runToConvergence();
    simulation.checkEffectOrder();
  }

  private static void assertDetected(LeaseSimulation.Factory variant, boolean boundsOrderTime) {
    assertThrows(AssertionError.class, () -> runRandomSimulations(variant, boundsOrderTime));
  }

  private static void runRandomSimulations(
      LeaseSimulation.Factory factory, boolean boundsOrderTime) {
    Random random = new Random(SEED);
    for (int i = 0; i < 1_000; i++) {
      runSimulation(
          new LeaseSimulation(factory, false, boundsOrderTime),
          random.ints(600, 0, CHOICES).boxed().toList());
    }
  }

  @Test
  void leaseWithAllRulesPassesSameSimulations() {
    runRandomSimulations(ALL_RULES, true);
  }

  @Test
  void detectsUnboundedPauseBetweenCheckAndEffect() {
    assertDetected(ALL_RULES, false);
  }

  @Test
  void detectsSuccessorThatDoesNotWait() {
    assertDetected(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              long takeoverWaitMillis() {
                return 0;
              }
            },
        true);
  }

  @Test
  void detectsHolderThatDoesNotReadAgain() {
    assertDetected(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              boolean isLeaseValid(long nowMillis) {
                return true;
              }
            },
        true);
  }

  @Test
  void detectsHolderThatCountsLeaseFromReadAnswer() {
    assertDetected(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              long provenAtMillis(long startedMillis, long receivedMillis) {
                return receivedMillis;
              }
            },
        true);
  }

  @Test
  void detectsHolderThatIgnoresLaterClaims() {
    assertDetected(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              boolean endsLease(long offset) {
                return false;
              }
            },
        true);
  }

  @Test
  void weightLoadsAreSpreadAndRetriesWaitForStore() {
    List<String> upstreams = List.of("a", "b", "c", "d", "e");
    WeightLoadSchedule schedule = WeightLoadSchedule.DEFAULT;
    Random random = new Random(SEED);
    List<Long> starts =
        upstreams.stream()
            .map(u -> schedule.startDelayMillis(u, upstreams, "m", "1", random))
            .sorted()
            .toList();
    for (int rank = 0; rank < starts.size(); rank++) {
      assertThat(starts.get(rank) / schedule.spacingMillis()).isEqualTo(rank);
    }
    assertThat(schedule.retryDelayMillis(1, 5_000, random)).isAtLeast(5_000);
    assertThat(schedule.retryDelayMillis(60, 0, random)).isAtMost(90_000);
  }
}
