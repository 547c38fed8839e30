package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that sends more retries in a window than all its instances may. */
final class RetryBudgetsTest {
  private static final double FLEET_FLOOR = 40;
  private static final DispatchSettings SETTINGS =
      new DispatchSettings("g", "z", 2, 0.2, 10_000, FLEET_FLOOR, 0);
  private static final ImmutableSet<String> OTHERS = ImmutableSet.of("a", "b", "c");

  /** A window, and the longest time from taking a retry to its arrival. */
  private static final long SETTLE_MILLIS = 11_250;

  private static long acquired(RetryBudgets budgets, long nowMillis) {
    return IntStream.range(0, 1_000)
        .filter(i -> budgets.tryAcquire("s", nowMillis).isPresent())
        .count();
  }

  /** Returns the budgets of an instance that knows and has heard the others at a time. */
  private static RetryBudgets restarted(long nowMillis) {
    RetryBudgets budgets = new RetryBudgets(SETTINGS);
    budgets.recordRestart();
    learn(budgets, nowMillis);
    return budgets;
  }

  private static void learn(RetryBudgets budgets, long nowMillis) {
    budgets.setKnownInstances(OTHERS, nowMillis);
    budgets.recordDirectoryRead(nowMillis);
    OTHERS.forEach(id -> budgets.recordHeard(id, nowMillis));
  }

  /** Each instance uses its share, and then all of them restart and use what they have again. */
  @Test
  void instancesThatRestartDoNotSendTheRetriesOfAWindowTwice() {
    long sent = 0;
    for (int instance = 0; instance < 4; instance++) {
      RetryBudgets before = new RetryBudgets(SETTINGS);
      learn(before, 0);
      sent += acquired(before, 20_000);
      RetryBudgets after = restarted(21_000);
      sent += acquired(after, 21_500) + acquired(after, 30_900);
    }
    assertThat(sent).isEqualTo((long) FLEET_FLOOR);
  }

  @Test
  void restartedInstanceHasItsShareAfterAWindow() {
    RetryBudgets budgets = restarted(1_000);
    assertThat(acquired(budgets, 1_000 + SETTLE_MILLIS - 1)).isEqualTo(0);
    assertThat(acquired(budgets, 1_000 + SETTLE_MILLIS)).isEqualTo(10);
  }

  /** An instance that is not known to count this one may still use what this one would use. */
  @Test
  void instanceHasNoShareUntilItHasHeardAllThatItKnows() {
    RetryBudgets budgets = new RetryBudgets(SETTINGS);
    budgets.recordRestart();
    budgets.recordHeard("a", 0);
    budgets.setKnownInstances(OTHERS, 0);
    budgets.recordDirectoryRead(0);
    budgets.recordHeard("b", 0);
    assertThat(acquired(budgets, SETTLE_MILLIS)).isEqualTo(0);
    budgets.recordHeard("c", 20_000);
    assertThat(acquired(budgets, 20_000)).isEqualTo(0);
    assertThat(acquired(budgets, 20_000 + SETTLE_MILLIS)).isEqualTo(10);
  }

  /** An instance that cannot read the others does not know with how many it shares. */
  @Test
  void instanceHasNoShareUntilItHasReadTheDirectory() {
    RetryBudgets budgets = new RetryBudgets(SETTINGS);
    budgets.recordRestart();
    budgets.setKnownInstances(ImmutableSet.of("a"), 0);
    budgets.recordHeard("a", 0);
    assertThat(acquired(budgets, 100_000)).isEqualTo(0);
  }

  @Test
  void shareShrinksAtOnceAndStaysSmallWhenAnInstanceIsSilent() {
    RetryBudgets budgets = restarted(0);
    budgets.setKnownInstances(ImmutableSet.of("a", "b", "c", "d"), 20_000);
    assertThat(acquired(budgets, 20_000)).isEqualTo(8);
    budgets.setKnownInstances(ImmutableSet.of("a"), 140_000);
    assertThat(acquired(budgets, 160_000)).isEqualTo(8);
  }

  /** An instance that is lost for good must not take its share away for ever. */
  @Test
  void shareGrowsAnHourAfterAnInstanceWasLost() {
    RetryBudgets budgets = restarted(0);
    budgets.setKnownInstances(ImmutableSet.of("a", "b"), 20_000);
    assertThat(acquired(budgets, 20_000 + 3_600_000)).isEqualTo(10);
    assertThat(acquired(budgets, 20_000 + 3_600_000 + 20_000)).isEqualTo(13);
  }

  /** The setting of a first start may be kept over a restart, so it must not give a whole share. */
  @Test
  void firstStartOfAFleetHasASmallShareAtOnce() {
    assertThat(acquired(new RetryBudgets(SETTINGS), 0)).isEqualTo(5);
  }
}
