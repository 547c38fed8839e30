package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.gateway.DrainPlan.Step;

/** Guards against planned stops that cut callers off, and against time that is not counted. */
final class GatewayPartsTest {
  private long steady;
  private long wall = 1_000_000;

  @Test
  void suspensionIsCounted() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> steady, () -> wall);
    steady += 100;
    wall += 8_100;
    assertThat(clock.getAsLong()).isEqualTo(8_100);
  }

  @Test
  void timeOfDayThatJumpsBackDoesNotTurnTheClockBack() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> steady, () -> wall);
    steady += 100;
    wall -= 5_000;
    assertThat(clock.getAsLong()).isEqualTo(100);
    steady += 100;
    wall += 100;
    assertThat(clock.getAsLong()).isEqualTo(200);
  }

  @Test
  void slowDriftOfTheTimeOfDayIsNoSuspension() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> steady, () -> wall);
    steady += 1_000;
    wall += 1_050;
    assertThat(clock.getAsLong()).isEqualTo(1_000);
  }

  /** Engines would be asked twice, or not at all, if instances disagreed on their shares. */
  @Test
  void eachEngineIsAnsweredForByOneInstance() {
    ImmutableSet<String> instances = ImmutableSet.of("g-1", "g-2", "g-3");
    ImmutableList<String> engines = ImmutableList.of("e-1", "e-2", "e-3", "e-4", "e-5", "e-6");
    List<String> answered = new ArrayList<>();
    instances.forEach(i -> answered.addAll(CacheHandover.share(engines, i, instances)));
    assertThat(answered).containsExactlyElementsIn(engines);
  }

  /** A restarted fleet of 380 would ask 12,000 engines millions of times. */
  @Test
  void questionsAfterARestartAreBounded() {
    assertThat(CacheHandover.instancesPerEngine(6)).isAtLeast(4);
    assertThat(CacheHandover.instancesPerEngine(36)).isEqualTo(2);
    assertThat(CacheHandover.instancesPerEngine(12_000)).isEqualTo(1);
    assertThat(CacheHandover.instancesPerEngine(0)).isAtLeast(1);
  }

  @Test
  void stopServesOnUntilTheInstanceIsOutOfRotation() {
    DrainPlan plan = DrainPlan.begin(0, 8_000);
    assertThat(plan.next(100, 0)).isEqualTo(Step.WAIT);
    assertThat(plan.next(2_000, 3)).isEqualTo(Step.WAIT);
    assertThat(plan.next(2_500, 0)).isEqualTo(Step.CLOSE_IDLE);
  }

  /** Connections may still arrive when no other instance of the zone is ready. */
  @Test
  void stopRefusesLateRequestsThatItCouldOnlyCutOff() {
    DrainPlan plan = DrainPlan.begin(0, 8_000);
    assertThat(plan.accepts(1_000, 15_000)).isTrue();
    assertThat(plan.accepts(4_500, 15_000)).isFalse();
    assertThat(plan.accepts(4_500, 1_500)).isTrue();
    assertThat(plan.accepts(7_000, 1_500)).isFalse();
  }

  @Test
  void stopWaitsForRequestsInFlightWithinTheGraceTime() {
    DrainPlan plan = DrainPlan.begin(0, 8_000);
    assertThat(plan.next(5_000, 1)).isEqualTo(Step.CLOSE_IDLE);
    assertThat(plan.next(5_100, 0)).isEqualTo(Step.END);
    assertThat(plan.next(7_300, 1)).isEqualTo(Step.END);
  }
}
