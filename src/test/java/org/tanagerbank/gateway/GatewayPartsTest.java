package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.gateway.DrainPlan.Step;

/**
 * Tests the decision code of the gateway.
 *
 * <p>Guards against planned stops that break requests off, against suspensions that the clock does
 * not count, and against restarts after which engines are queried too often or not at all.
 */
final class GatewayPartsTest {
  private long steadyMillis;
  private long wallMillis = 1_000_000;

  @Test
  void suspensionIsCounted() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> steadyMillis, () -> wallMillis);
    steadyMillis += 100;
    wallMillis += 8_100;
    assertThat(clock.getAsLong()).isEqualTo(8_100);
  }

  @Test
  void backwardJumpOfTheWallClockDoesNotTurnTheClockBack() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> steadyMillis, () -> wallMillis);
    steadyMillis += 100;
    wallMillis -= 5_000;
    assertThat(clock.getAsLong()).isEqualTo(100);
    steadyMillis += 100;
    wallMillis += 100;
    assertThat(clock.getAsLong()).isEqualTo(200);
  }

  @Test
  void slowDriftOfTheWallClockIsNotCounted() {
    SuspendAwareClock clock = new SuspendAwareClock(() -> steadyMillis, () -> wallMillis);
    steadyMillis += 1_000;
    wallMillis += 1_050;
    assertThat(clock.getAsLong()).isEqualTo(1_000);
  }

  /** If instances disagreed on the assignment, engines would be queried twice or not at all. */
  @Test
  void eachEngineIsAssignedToOneInstance() {
    ImmutableSet<String> instances = ImmutableSet.of("g-1", "g-2", "g-3");
    ImmutableList<String> engines = ImmutableList.of("e-1", "e-2", "e-3", "e-4", "e-5", "e-6");
    List<String> assigned = new ArrayList<>();
    instances.forEach(i -> assigned.addAll(CacheQueryPlan.assignedEngines(engines, i, instances)));
    assertThat(assigned).containsExactlyElementsIn(engines);
  }

  /** Without a limit, 380 restarted instances would query 12,000 engines millions of times. */
  @Test
  void engineQueriesAfterARestartAreBounded() {
    assertThat(CacheQueryPlan.instancesPerEngine(6)).isAtLeast(4);
    assertThat(CacheQueryPlan.instancesPerEngine(36)).isEqualTo(2);
    assertThat(CacheQueryPlan.instancesPerEngine(12_000)).isEqualTo(1);
    assertThat(CacheQueryPlan.instancesPerEngine(0)).isAtLeast(1);
  }

  @Test
  void stopWaitsUntilTheInstanceIsOutOfRotation() {
    DrainPlan plan = DrainPlan.startingAt(0, 8_000);
    assertThat(plan.nextStep(100, 0)).isEqualTo(Step.WAIT);
    assertThat(plan.nextStep(2_000, 3)).isEqualTo(Step.WAIT);
    assertThat(plan.nextStep(2_500, 0)).isEqualTo(Step.CLOSE_IDLE);
  }

  /** New connections can still arrive if no other instance of the zone is ready. */
  @Test
  void stopRefusesRequestsThatMayOutlastTheProcess() {
    DrainPlan plan = DrainPlan.startingAt(0, 8_000);
    assertThat(plan.acceptsRequest(1_000, 15_000)).isTrue();
    assertThat(plan.acceptsRequest(4_500, 15_000)).isFalse();
    assertThat(plan.acceptsRequest(4_500, 1_500)).isTrue();
    assertThat(plan.acceptsRequest(7_000, 1_500)).isFalse();
  }

  @Test
  void stopWaitsForRequestsInFlightWithinTheGraceTime() {
    DrainPlan plan = DrainPlan.startingAt(0, 8_000);
    assertThat(plan.nextStep(5_000, 1)).isEqualTo(Step.CLOSE_IDLE);
    assertThat(plan.nextStep(5_100, 0)).isEqualTo(Step.END);
    assertThat(plan.nextStep(7_300, 1)).isEqualTo(Step.END);
  }
}
