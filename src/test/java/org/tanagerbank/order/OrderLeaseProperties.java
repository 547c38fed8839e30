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
 * Guards against an order of an older holder that takes effect after one of a newer holder, with
 * pauses between all steps. Each rule is also taken out, to show that the oracle notices.
 */
final class OrderLeaseProperties {
  private static final long SEED = 20261204;
  private static final int CHOICES = 16 * 8 * 12;
  private static final LeaseWorld.Factory ALL_RULES =
      (upstream, incarnation) -> new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT);

  @Provide
  Arbitrary<List<Integer>> choices() {
    return Arbitraries.integers().between(0, CHOICES - 1).list().ofMinSize(50).ofMaxSize(600);
  }

  @Property(tries = 1_500, seed = "" + SEED)
  void ordersStayInOrderAtEnginesThatIgnoreFencing(@ForAll("choices") List<Integer> choices) {
    run(new LeaseWorld(ALL_RULES, false, true), choices);
  }

  @Property(tries = 1_500, seed = "" + SEED)
  void ordersStayInOrderAtEnginesThatCheckFencing(@ForAll("choices") List<Integer> choices) {
    run(new LeaseWorld(ALL_RULES, true, false), choices);
  }

  /** Unbounded pauses after the check cannot be prevented there, but they must be repaired. */
  @Test
  void lateOrdersAreFollowedByTheHoldersOwn() {
    assertThat(runUnbounded(ALL_RULES)).isGreaterThan(0);
  }

  @Test
  void holderThatDoesNotRepeatAfterALateOrderIsNoticed() {
    assertThrows(
        AssertionError.class,
        () ->
            runUnbounded(
                (upstream, incarnation) ->
                    new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
                      @Override
                      public boolean takeRepeat() {
                        return false;
                      }
                    }));
  }

  /** Returns the number of runs in which an order took effect after one of a newer holder. */
  private static int runUnbounded(LeaseWorld.Factory factory) {
    Random random = new Random(SEED);
    int late = 0;
    for (int i = 0; i < 1_000; i++) {
      LeaseWorld world = new LeaseWorld(factory, false, false);
      random.ints(600, 0, CHOICES).forEach(world::run);
      late += world.effects().stream().sorted().toList().equals(world.effects()) ? 0 : 1;
      world.settle();
    }
    return late;
  }

  private static void run(LeaseWorld world, List<Integer> choices) {
    for (int choice : choices) {
      world.run(choice);
      world.checkOrder();
    }
    world.settle();
    world.checkOrder();
  }

  private static void assertNoticed(LeaseWorld.Factory variant, boolean bounded) {
    assertThrows(AssertionError.class, () -> runRandomWorlds(variant, bounded));
  }

  private static void runRandomWorlds(LeaseWorld.Factory factory, boolean bounded) {
    Random random = new Random(SEED);
    for (int i = 0; i < 1_000; i++) {
      run(new LeaseWorld(factory, false, bounded), random.ints(600, 0, CHOICES).boxed().toList());
    }
  }

  @Test
  void leaseWithAllRulesPassesTheSameRuns() {
    runRandomWorlds(ALL_RULES, true);
  }

  @Test
  void unboundedPauseAfterTheCheckIsNoticed() {
    assertNoticed(ALL_RULES, false);
  }

  @Test
  void successorThatDoesNotWaitIsNoticed() {
    assertNoticed(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              long waitMillis() {
                return 0;
              }
            },
        true);
  }

  @Test
  void holderThatDoesNotReadAgainIsNoticed() {
    assertNoticed(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              boolean isFresh(long nowMillis) {
                return true;
              }
            },
        true);
  }

  @Test
  void holderThatCountsFromTheAnswerOfTheReadIsNoticed() {
    assertNoticed(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              long provenAt(long startedMillis, long receivedMillis) {
                return receivedMillis;
              }
            },
        true);
  }

  @Test
  void holderThatIgnoresLaterClaimsIsNoticed() {
    assertNoticed(
        (upstream, incarnation) ->
            new OrderLease(upstream, incarnation, LeaseSettings.DEFAULT) {
              @Override
              boolean endsRight(long offset) {
                return false;
              }
            },
        true);
  }

  @Test
  void loadsOfAllUpstreamsAreSpreadAndWaitForTheStore() {
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
