package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet whose retries exceed what a service may get in some window, although each
 * instance keeps its own budget.
 */
final class RetryFleetTest {
  private static final int FLEET = 4;

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
}
