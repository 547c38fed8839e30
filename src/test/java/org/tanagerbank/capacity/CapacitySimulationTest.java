package org.tanagerbank.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.capacity.CapacitySimulation.Policy;

/**
 * Tests the placement of plain requests by learned times in {@link CapacitySimulation}.
 *
 * <p>Guards against requests that miss their objective at slow upstreams, and against choices that
 * get worse where upstreams are alike. The objective is 150 ms, the mean work 35 ms.
 */
final class CapacitySimulationTest {
  private static final int GATEWAYS = 21;
  private static final int LOW_LOAD = 44;
  private static final int HIGH_LOAD = 260;
  private static final double[] SPEEDS = {4, 1, 1.3};
  private static final double[] CHANGED_SPEEDS = {1.3, 4, 1};

  private static CapacitySimulation run(
      Policy policy, double load, Consumer<CapacitySimulation> scenario) {
    CapacitySimulation simulation = new CapacitySimulation(policy, GATEWAYS, 3, load, 35, 5);
    scenario.accept(simulation);
    simulation.run(45_000, (s, second) -> {});
    return simulation;
  }

  private static void setSpeeds(CapacitySimulation simulation, double[] slowdowns) {
    IntStream.range(0, slowdowns.length)
        .forEach(i -> simulation.servers.get(i).slowdown = slowdowns[i]);
  }

  /** Returns the share of answers in time among the requests of some seconds. */
  private static double goodput(CapacitySimulation simulation, int from, int to) {
    return (double) IntStream.range(from, to).map(i -> simulation.inTime[i]).sum()
        / IntStream.range(from, to).map(i -> simulation.requests[i]).sum();
  }

  private static void assertNearOracle(
      double load, Consumer<CapacitySimulation> scenario, int from, int to) {
    double learned = goodput(run(Policy.LEARNED, load, scenario), from, to);
    assertThat(learned).isAtLeast(0.95 * goodput(run(Policy.ORACLE, load, scenario), from, to));
    assertThat(learned).isAtLeast(goodput(run(Policy.FIXED, load, scenario), from, to) - 0.003);
  }

  @Test
  void upstreamsOfDifferentSpeeds() {
    assertNearOracle(LOW_LOAD, s -> setSpeeds(s, SPEEDS), 5, 40);
    assertNearOracle(HIGH_LOAD, s -> setSpeeds(s, SPEEDS), 5, 40);
  }

  /** Guards against an upstream that became slow and keeps its traffic for over 5 s. */
  @Test
  void changeOfSpeedIsFollowedWithinFiveSeconds() {
    Consumer<CapacitySimulation> change =
        s -> {
          setSpeeds(s, SPEEDS);
          s.at(20_000, () -> setSpeeds(s, CHANGED_SPEEDS));
        };
    assertNearOracle(LOW_LOAD, change, 25, 40);
    assertNearOracle(HIGH_LOAD, change, 25, 40);
  }

  @Test
  void noiseToldByUpstreams() {
    Consumer<CapacitySimulation> noise =
        s ->
            s.servers.forEach(
                server -> {
                  server.noiseShare = 0.15;
                  server.tellsSpeed = true;
                });
    assertNearOracle(LOW_LOAD, noise, 5, 40);
    assertNearOracle(HIGH_LOAD, noise, 5, 40);
  }

  @Test
  void noiseThatIsNotTold() {
    assertNearOracle(LOW_LOAD, s -> s.servers.forEach(u -> u.noiseShare = 0.15), 5, 40);
    assertNearOracle(HIGH_LOAD, s -> s.servers.forEach(u -> u.noiseShare = 0.15), 5, 40);
  }

  @Test
  void upstreamThatSlowsDownFromHalfOfItsSlots() {
    assertNearOracle(HIGH_LOAD, s -> s.servers.get(0).slowsFromHalf = true, 5, 40);
  }

  @Test
  void crashAndReturn() {
    Consumer<CapacitySimulation> crash =
        s -> {
          setSpeeds(s, SPEEDS);
          s.at(15_000, () -> s.crash(2));
          s.at(20_000, () -> s.servers.get(2).isDown = false);
        };
    assertNearOracle(HIGH_LOAD, crash, 25, 40);
  }

  /** Guards against decisions by learned times where there is nothing to learn. */
  @Test
  void likeUpstreamsAreChosenAsBefore() {
    CapacitySimulation learned = run(Policy.LEARNED, LOW_LOAD, s -> {});
    assertThat(learned.learnedChoices()).isEqualTo(0);
    assertThat(learned.sent).isEqualTo(run(Policy.FIXED, LOW_LOAD, s -> {}).sent);
  }

  /** Guards against traffic that swings between upstreams of constant speeds. */
  @Test
  void sharesAreStable() {
    CapacitySimulation simulation = run(Policy.LEARNED, HIGH_LOAD, s -> setSpeeds(s, SPEEDS));
    int[] fastest = IntStream.range(10, 40).map(i -> simulation.sent[i][1]).toArray();
    double mean = IntStream.of(fastest).average().getAsDouble();
    double squares = IntStream.of(fastest).mapToDouble(n -> (n - mean) * (n - mean)).sum();
    assertThat(Math.sqrt(squares / fastest.length)).isLessThan(0.2 * mean);
  }

  /** Guards against a restarted gateway that sends to slow upstreams until it has learned again. */
  @Test
  void restartedGatewayTakesWhatOthersLearned() {
    CapacitySimulation simulation = run(Policy.LEARNED, HIGH_LOAD, s -> setSpeeds(s, SPEEDS));
    double known = simulation.relativeTime(0, 0);
    simulation.restartGateway(0);
    assertThat(simulation.relativeTime(0, 0)).isWithin(0.3 * known).of(known);
  }

  /** Guards against a change that is shown with each response, or for a single slow one. */
  @Test
  void changeOfSpeedIsShownOnce() {
    ProcessCapacity capacity = new ServiceCapacity().add(1, 6);
    IntStream.range(0, 20).forEach(i -> capacity.responded(1, 35, 100));
    assertThat(capacity.takeChange(100)).isEqualTo(OptionalDouble.empty());
    capacity.responded(1, 10_000, 100);
    assertThat(capacity.takeChange(100)).isEqualTo(OptionalDouble.empty());
    IntStream.range(0, 20).forEach(i -> capacity.responded(1, 140, 100));
    assertThat(capacity.takeChange(100).getAsDouble()).isGreaterThan(1.5);
    assertThat(capacity.takeChange(100)).isEqualTo(OptionalDouble.empty());
  }
}
