package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a cold upstream that gets more requests in a second, from all instances together,
 * than it tolerates, and against one that gets far fewer than it takes. The upstream becomes cold
 * again in the middle, and after pauses of all callers.
 */
final class ColdFleetTest {
  private static final long COLD_MILLIS = 25_000;

  /** The time until all instances have read the report of an upstream that became cold. */
  private static final long KNOWN_MILLIS = 2_200;

  private static double lowestUse(ColdFleetSimulation fleet, double perSecond, double max) {
    double lowest = 1;
    for (int phase = 0; phase < 2; phase++) {
      fleet.becomeCold(COLD_MILLIS);
      long from = fleet.nowMillis() + KNOWN_MILLIS;
      fleet.run(COLD_MILLIS, perSecond, /* hasOthers= */ phase == 0);
      assertThat((double) fleet.maxInOneSecond(from, fleet.nowMillis())).isAtMost(max);
      lowest = Math.min(lowest, fleet.usedShare(from, fleet.nowMillis()));
      fleet.run(5_000, perSecond, /* hasOthers= */ true);
    }
    return lowest;
  }

  @ParameterizedTest
  @CsvSource({
    "1, 8.3, 60, 0.9",
    "1, 11, 60, 0.9",
    "30, 8.3, 60, 0.5",
    "30, 8.3, 300, 0.6",
    "30, 11, 300, 0.6",
    "300, 8.3, 300, 0.3",
    "300, 11, 1500, 0.5"
  })
  void coldUpstreamGetsWhatItTolerates(
      int instances, double limit, double requestsPerSecond, double minUse) {
    ColdFleetSimulation fleet = new ColdFleetSimulation(instances, instances, limit);
    fleet.setLosesInstances(instances > 1);
    fleet.run(4_000, 0, /* hasOthers= */ true);
    double max = ColdFleetSimulation.TOLERANCE.maxInOneSecond(limit);
    assertThat(lowestUse(fleet, requestsPerSecond, max)).isAtLeast(minUse);
    fleet.becomeCold(COLD_MILLIS);
    long from = fleet.nowMillis() + KNOWN_MILLIS;
    for (int burst = 0; burst < 3; burst++) {
      fleet.run(5_000, 0, /* hasOthers= */ false);
      fleet.run(2_500, 5 * requestsPerSecond, /* hasOthers= */ burst > 0);
    }
    assertThat((double) fleet.maxInOneSecond(from, fleet.nowMillis())).isAtMost(max);
  }
}
