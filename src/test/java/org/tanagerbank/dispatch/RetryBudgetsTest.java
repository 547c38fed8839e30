package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that sends more retries in a window than all its instances may. */
final class RetryBudgetsTest {
  private static final double FLEET_FLOOR = 40;
  private static final DispatchSettings SETTINGS =
      new DispatchSettings("g", "z", 2, 0.2, 10_000, FLEET_FLOOR, 0);

  private static long acquired(RetryBudgets budgets, long nowMillis) {
    return IntStream.range(0, 1_000)
        .filter(i -> budgets.tryAcquire("s", nowMillis).isPresent())
        .count();
  }

  /** Each instance uses its share, and then all of them restart and use what they have again. */
  @Test
  void instancesThatRestartDoNotSendTheRetriesOfAWindowTwice() {
    long sent = 0;
    for (int instance = 0; instance < 4; instance++) {
      RetryBudgets before = new RetryBudgets(SETTINGS);
      before.setFleetSize(4);
      sent += acquired(before, 10_000);
      RetryBudgets after = new RetryBudgets(SETTINGS);
      after.setFleetSize(4);
      after.recordRestart(11_000);
      sent += acquired(after, 11_500);
    }
    // A half second after the restart, a twentieth of the share is back, rounded up.
    assertThat(sent).isAtMost((long) FLEET_FLOOR + 4);
  }

  @Test
  void restartedInstanceHasItsShareAfterAWindow() {
    RetryBudgets budgets = new RetryBudgets(SETTINGS);
    budgets.setFleetSize(4);
    budgets.recordRestart(1_000);
    assertThat(acquired(budgets, 11_000)).isEqualTo(10);
  }
}
