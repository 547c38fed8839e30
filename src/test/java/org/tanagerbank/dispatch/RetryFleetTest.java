package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a fleet whose retries exceed what a service may get in some window, although each
 * instance keeps its own budget. {@code -Dretry.seeds=1-500} plays other histories.
 */
final class RetryFleetTest {
  private static final int FLEET = 4;

  static LongStream seeds() {
    String[] ends = System.getProperty("retry.seeds", "1-60").split("-");
    return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1]));
  }

  private static RetryFleetSimulation calmFleet(long seed) {
    RetryFleetSimulation fleet = new RetryFleetSimulation(seed, FLEET);
    fleet.advance(15_000);
    return fleet;
  }

  private static void assertRuleHolds(RetryFleetSimulation fleet) {
    assertWithMessage("retries beyond what a window allows, of %s", fleet.rule().retryCount())
        .that(fleet.rule().worstExcess())
        .isAtMost(0.0);
  }

  /** A window that forgets early allows what it has just allowed once more. */
  @Test
  void burstsThatAreAlmostOneWindowApartStayWithinTheRule() {
    RetryFleetSimulation fleet = calmFleet(1);
    for (int i = 0; i < 4; i++) {
      fleet.setTraffic(100, 1);
      fleet.advance(2_100);
      fleet.setTraffic(0, 0);
      fleet.advance(7_000);
    }
    assertRuleHolds(fleet);
  }

  /** Retries that wait for a connection arrive together with those of the next window. */
  @Test
  void retriesThatArriveLateStayWithinTheRule() {
    RetryFleetSimulation fleet = calmFleet(2);
    fleet.setSlowConnectShare(1);
    fleet.setTraffic(60, 1);
    fleet.advance(40_000);
    assertRuleHolds(fleet);
  }

  /** Retries that were taken at once and arrive over a second are still arriving in the window. */
  @Test
  void retriesTakenAWindowAfterSlowOnesStayWithinTheRule() {
    RetryFleetSimulation fleet = calmFleet(10);
    for (double slowShare : new double[] {1, 0, 1, 0}) {
      fleet.setSlowConnectShare(slowShare);
      fleet.setTraffic(1_000, 1);
      fleet.advance(100);
      fleet.setTraffic(0, 0);
      fleet.advance(10_200);
    }
    assertRuleHolds(fleet);
  }

  /** Added instances take shares of what the others have already used up. */
  @Test
  void addedInstancesStayWithinTheRule() {
    RetryFleetSimulation fleet = calmFleet(3);
    fleet.setTraffic(20, 1);
    fleet.advance(5_000);
    fleet.setDirectoryMillis(3_000);
    IntStream.range(0, 3).forEach(i -> fleet.add());
    fleet.advance(30_000);
    assertRuleHolds(fleet);
  }

  /** What an instance sent before its end still counts after its next start. */
  @Test
  void restartedInstancesStayWithinTheRule() {
    RetryFleetSimulation fleet = calmFleet(4);
    fleet.setTraffic(20, 1);
    fleet.advance(5_000);
    IntStream.range(0, FLEET).forEach(i -> fleet.restart(i, /* isFirstStart= */ false));
    fleet.advance(30_000);
    assertRuleHolds(fleet);
  }

  /** The setting of a first start may be kept over a restart; the unused shares cover that. */
  @Test
  void restartsWithTheSettingOfAFirstStartStayWithinTheRule() {
    RetryFleetSimulation fleet = new RetryFleetSimulation(9, FLEET, 0.8, 0.66);
    fleet.advance(15_000);
    fleet.setTraffic(20, 1);
    fleet.advance(5_000);
    IntStream.range(0, FLEET).forEach(i -> fleet.restart(i, /* isFirstStart= */ true));
    fleet.advance(30_000);
    assertRuleHolds(fleet);
  }

  /** Instances that start while they cannot hear each other do not know the size of the fleet. */
  @Test
  void instancesThatStartWhileCutOffStayWithinTheRule() {
    RetryFleetSimulation fleet = new RetryFleetSimulation(5, 8);
    fleet.advance(15_000);
    fleet.setTraffic(20, 1);
    for (int i = 0; i < 8; i++) {
      for (int added = 8; added < 14; added++) {
        fleet.setCut(i, added, true);
      }
    }
    IntStream.range(0, 6).forEach(i -> fleet.add());
    fleet.advance(40_000);
    assertRuleHolds(fleet);
  }

  /** The requests of the last seconds are not those of any window that counts, if traffic stops. */
  @Test
  void retriesOfABurstStayWithinTheRuleAfterTheTrafficStops() {
    RetryFleetSimulation fleet = calmFleet(6);
    for (int i = 0; i < 6; i++) {
      fleet.setTraffic(300, 0);
      fleet.advance(1_000);
      fleet.setTraffic(0, 0);
      fleet.advance(3_000 + 500 * i);
      fleet.setTraffic(30, 1);
      fleet.advance(6_000 - 500 * i);
    }
    assertRuleHolds(fleet);
  }

  /** A bound that is kept by not retrying at all would fail requests that could be served. */
  @Test
  void noRetryIsDeniedInSteadyState() {
    RetryFleetSimulation fleet = calmFleet(7);
    fleet.setTraffic(13, 0.06);
    fleet.advance(120_000);
    assertThat(fleet.deniedRetries()).isEqualTo(0);
    assertThat(fleet.rule().retryCount()).isAtLeast(70);
  }

  @Test
  void mostOfWhatTheRuleAllowsIsUsedWhenAllRequestsFail() {
    RetryFleetSimulation fleet = calmFleet(8);
    fleet.setTraffic(38, 1);
    fleet.advance(120_000);
    double allowed = 12 * (RetryFleetSimulation.RATIO * 380 + RetryFleetSimulation.SLACK);
    assertThat(fleet.rule().retryCount()).isAtLeast((int) (0.9 * allowed));
    assertRuleHolds(fleet);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void randomHistoriesStayWithinTheRule(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RetryFleetSimulation fleet = new RetryFleetSimulation(seed, 1 + random.nextInt(8));
    fleet.setSlowConnectShare(random.nextInt(3) * 0.5);
    fleet.advance(random.nextLong(20_000));
    for (int i = 0; i < 40; i++) {
      fleet.setDirectoryMillis(1 + random.nextLong(5_000));
      injectFault(fleet, random);
      fleet.setTraffic(random.nextInt(4) * random.nextInt(60), random.nextInt(3) * 0.5);
      fleet.advance(200 + random.nextLong(3_500));
    }
    assertRuleHolds(fleet);
  }

  private static void injectFault(RetryFleetSimulation fleet, SplittableRandom random) {
    int instance = random.nextInt(fleet.instanceCount());
    switch (random.nextInt(12)) {
      case 0, 1 -> fleet.restart(instance, /* isFirstStart= */ false);
      case 2 ->
          IntStream.range(0, fleet.instanceCount())
              .forEach(i -> fleet.restart(i, /* isFirstStart= */ false));
      case 3 -> {
        if (fleet.instanceCount() < 12) {
          fleet.add();
        }
      }
      case 4, 5 ->
          fleet.setCut(instance, (instance + 1) % fleet.instanceCount(), random.nextBoolean());
      default -> {}
    }
  }
}
