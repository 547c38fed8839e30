package org.tanagerbank.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against a budget that forgets what it has allowed before a whole window has passed. */
final class RetryBudgetTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final int FLOOR = 50;

  private static long acquired(RetryBudget budget, long nowMillis) {
    return IntStream.range(0, 1_000).filter(i -> budget.tryAcquire(nowMillis)).count();
  }

  @Test
  void retriesCountForAWholeWindow() {
    RetryBudget budget = new RetryBudget(0.2, WINDOW_MILLIS, FLOOR);
    assertThat(acquired(budget, 10_900)).isEqualTo(FLOOR);
    assertThat(acquired(budget, 20_100)).isEqualTo(0);
    assertThat(acquired(budget, 20_899)).isEqualTo(0);
    assertThat(acquired(budget, 21_000)).isEqualTo(FLOOR);
  }

  @Test
  void requestsCountForAWindowAtMost() {
    RetryBudget budget = new RetryBudget(0.2, WINDOW_MILLIS, 0);
    IntStream.range(0, 100).forEach(i -> budget.recordRequest(10_900));
    assertThat(acquired(budget, 20_800)).isEqualTo(20);
    assertThat(acquired(budget, 20_900)).isEqualTo(0);
  }

  /** Attempts at random times, which a window of whole seconds would round. */
  @Test
  void noSlidingWindowExceedsTheFloorWithoutRequests() {
    for (int seed = 0; seed < 100; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      RetryBudget budget = new RetryBudget(0.2, WINDOW_MILLIS, FLOOR);
      List<Long> retries = new ArrayList<>();
      LongStream.iterate(0, t -> t < 60_000, t -> t + 1 + random.nextLong(200))
          .filter(budget::tryAcquire)
          .forEach(retries::add);
      for (long last : retries) {
        long inWindow = retries.stream().filter(r -> r > last - WINDOW_MILLIS && r <= last).count();
        assertWithMessage("seed %s, window that ends at %s", seed, last)
            .that(inWindow)
            .isAtMost(FLOOR);
      }
    }
  }
}
