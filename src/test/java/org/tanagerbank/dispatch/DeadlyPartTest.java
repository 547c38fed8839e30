package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.tanagerbank.dispatch.PartScenario.DEADLY;
import static org.tanagerbank.dispatch.PartScenario.FIRST;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a part of prompts that ends each upstream which begins a request with it, in
 * requests no two alike that are sent to upstreams again and again; and against sound requests that
 * are refused because they share other parts with these.
 */
final class DeadlyPartTest {
  private static final int UPSTREAMS = 12;
  private static final long DAY_MILLIS = 40_000;

  /** The part ends upstreams at any place of the prompt but the last. */
  @ParameterizedTest
  @CsvSource({"4, 125", "4, 12", "40, 25", "2, 500"})
  void secondPartIsStoppedAndSoundRequestsThatShareTheFirstAreServed(
      int gateways, long soundIntervalMillis) {
    PartScenario scenario =
        new PartScenario(gateways, UPSTREAMS).soundEach(soundIntervalMillis).play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** Guards against a part that is never blamed because of the number of others (review/13). */
  @ParameterizedTest
  @CsvSource({"2, 70, 70", "4, 300, 150", "4, 2000, 2000", "4, 2000, 5", "40, 300, 299"})
  void partAmongManyOthersIsStoppedAndSoundRequestsThatShareThoseAreServed(
      int gateways, int others, int place) {
    long[] shared = LongStream.range(0x400, 0x400 + others).toArray();
    long[] before = Arrays.copyOfRange(shared, 0, place);
    long[] after = Arrays.copyOfRange(shared, place, others);
    PartScenario scenario =
        new PartScenario(gateways, UPSTREAMS)
            .deadly(i -> longPrompt(before, new long[] {DEADLY}, after, 0x10_0000 + i))
            .sound(i -> longPrompt(before, new long[0], after, 0x30_0000 + i))
            .play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** Returns a prompt of many short parts, with one part of its own at the end. */
  private static SimulatedPrompt longPrompt(long[] before, long[] between, long[] after, long own) {
    long[] parts = Longs.concat(before, between, after, new long[] {own});
    return new SimulatedPrompt("m", ImmutableList.copyOf(Longs.asList(parts)), 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 40})
  void firstPartIsStoppedAndSoundRequestsThatShareTheSecondAreServed(int gateways) {
    PartScenario scenario =
        new PartScenario(gateways, UPSTREAMS)
            .deadly(i -> SimulatedPrompt.of(DEADLY, 0x200 + i % 20, 0x10_0000 + i))
            .play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** Only completed runs tell the deadly first part from a second one that always follows it. */
  @Test
  void firstPartIsStoppedAlthoughOnePartAlwaysFollowsIt() {
    PartScenario scenario =
        new PartScenario(4, UPSTREAMS)
            .deadly(i -> SimulatedPrompt.of(DEADLY, 0x200, 0x10_0000 + i))
            .play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  @Test
  void onlySharedPartIsStopped() {
    PartScenario scenario =
        new PartScenario(4, UPSTREAMS)
            .deadly(i -> SimulatedPrompt.of(DEADLY, 0x10_0000 + i))
            .play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** The third part is seen with the deadly one only, but is no reason to let that one pass. */
  @Test
  void partInTheMiddleOfFourIsStoppedThoughOthersFollowItOnly() {
    PartScenario scenario =
        new PartScenario(4, UPSTREAMS)
            .deadly(i -> SimulatedPrompt.of(FIRST, DEADLY, 0x500 + i / 4, 0x10_0000 + i))
            .play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** Only the callers of deadly requests use the first part, until a sound one comes. */
  @Test
  void soundRequestsAreServedWhoseFirstPartOnlyDeadlyOnesHad() {
    PartScenario scenario =
        new PartScenario(4, UPSTREAMS)
            .sound(i -> SimulatedPrompt.of(0xf2L, 0x200 + i % 20, 0x30_0000 + i))
            .play(12_000)
            .sound(i -> SimulatedPrompt.of(FIRST, 0x200 + i % 20, 0x30_0000 + i))
            .play(20_000);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** Guards against blame on the first part, which has more crashes than either deadly one. */
  @Test
  void twoDeadlyPartsAreStopped() {
    long other = 0xdeaf;
    PartScenario scenario =
        new PartScenario(4, UPSTREAMS)
            .deadly(i -> SimulatedPrompt.of(FIRST, i % 2 == 0 ? DEADLY : other, 0x10_0000 + i));
    scenario.fleet().upstreams().forEach(u -> u.setDeadlyParts(DeadlyParts.of(DEADLY, other)));
    scenario.play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertStopped(other);
    scenario.assertSoundServed(DEADLY);
  }

  @Test
  void partThatBecomesDeadlyAfterItCompletedIsStopped() {
    PartScenario scenario = new PartScenario(4, UPSTREAMS);
    long from = scenario.fleet().nowMillis() + 5_000;
    scenario.fleet().upstreams().forEach(u -> u.setDeadlyParts(DeadlyParts.of(DEADLY).from(from)));
    scenario.play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** What upstreams of one version survive proves nothing about those of the other. */
  @Test
  void partThatEndsUpstreamsOfOneVersionEndsFewOfThem() {
    PartScenario scenario =
        new PartScenario(new DispatchSimulation(4, UPSTREAMS, true, u -> u < 6 ? "v2" : "v1"));
    scenario
        .fleet()
        .upstreams()
        .forEach(u -> u.setDeadlyParts(DeadlyParts.of(DEADLY).atVersion("v2")));
    scenario.play(DAY_MILLIS);
    assertThat(PartRule.crashes(scenario.fleet(), DEADLY)).isAtMost(5 + PartRule.MAX_LATE);
    scenario.assertSoundServed(DEADLY);
  }

  /** The part is the same whatever its place, its length and the model are. */
  @Test
  void partIsKnownAtAnotherPlaceOfAnotherModelAndLength() {
    PartScenario scenario =
        new PartScenario(4, UPSTREAMS)
            .deadly(
                i ->
                    switch ((int) (i % 3)) {
                      case 0 -> SimulatedPrompt.of(FIRST, DEADLY, 0x10_0000 + i);
                      case 1 -> SimulatedPrompt.of(DEADLY, 0x200L, 0x10_0000 + i);
                      default ->
                          new SimulatedPrompt(
                              "other", SimulatedPrompt.of(FIRST, DEADLY, i).parts(), 77);
                    })
            .play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** Guards against evidence that comes too late: many crash before any gateway has told it. */
  @ParameterizedTest
  @CsvSource({"4, 100", "4, 4000", "40, 4000", "12, 1000"})
  void fiveCrashesAtOnceAreEnough(int gateways, long deadlyIntervalMillis) {
    PartScenario scenario = new PartScenario(gateways, UPSTREAMS).playSound(2_000);
    for (int i = 0; i < 6; i++) {
      scenario.sendDeadly(i % gateways);
    }
    scenario.deadlyEach(deadlyIntervalMillis).play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** Guards against requests that wait for a trial until their time is over. */
  @Test
  void requestsOfARestrictedPartAreRefusedAtOnceWithATimeToReturn() {
    PartScenario scenario = new PartScenario(4, UPSTREAMS).deadlyEach(25).play(3_000);
    Call call = scenario.sendDeadly(1);
    scenario.fleet().advance(200);
    assertThat(call.status).isEqualTo(503);
    assertThat(Double.parseDouble(call.headers.get("Retry-After"))).isGreaterThan(0.2);
    scenario.play(10_000);
    PromiseCheck.assertPromisesKept(scenario.fleet());
    scenario.assertStopped(DEADLY);
  }

  /** Upstreams that turn trials away must not get one after the other. */
  @Test
  void trialsOfAPartThatUpstreamsRefuseAreFew() {
    PartScenario scenario = new PartScenario(4, UPSTREAMS).play(2_500);
    scenario
        .fleet()
        .upstreams()
        .forEach(
            u ->
                u.setScript(
                    id ->
                        id.endsWith("7")
                            ? UpstreamBehavior.sends(
                                new UpstreamBehavior.Write(1, UpstreamBehavior.refusal(id)))
                            : UpstreamBehavior.NORMAL));
    scenario.play(DAY_MILLIS);
    scenario.assertStopped(DEADLY);
  }

  @Test
  void gatewaysThatRestartedJoinedOrReturnedKnowThePart() {
    PartScenario scenario = new PartScenario(4, UPSTREAMS);
    DispatchSimulation fleet = scenario.fleet();
    fleet.setCutOff(3, true);
    fleet.setPaused(2, true);
    scenario.play(8_000);
    fleet.setCutOff(3, false);
    fleet.setPaused(2, false);
    fleet.restart(0);
    fleet.addGateway();
    scenario.playSound(PartRule.STABLE_MILLIS);
    long before = PartRule.crashes(fleet, DEADLY);
    scenario.play(20_000);
    assertThat(PartRule.crashes(fleet, DEADLY) - before).isAtMost(1);
    scenario.assertStopped(DEADLY);
    scenario.assertSoundServed(DEADLY);
  }

  /** A request that ends upstreams by its whole content must not put blame on its parts. */
  @Test
  void partsOfADeadlyWholeRequestStayFree() {
    PartScenario scenario = new PartScenario(4, UPSTREAMS);
    DispatchSimulation fleet = scenario.fleet();
    fleet.upstreams().forEach(u -> u.setDeadlyParts(DeadlyParts.NONE));
    scenario.deadlyEach(Long.MAX_VALUE);
    for (int i = 0; i < 40; i++) {
      SimulatedPrompt prompt = SimulatedPrompt.of(FIRST, 0x201L, 0x77L);
      fleet.sendPrompt(i % 4, "/safe/x", SimulatedUpstream.DEADLY, prompt);
      scenario.play(500);
    }
    assertThat(SimulatedUpstream.Run.lateRetries(fleet.deadlyRuns()).size()).isAtMost(3);
    List<Call> refused =
        fleet.calls().stream().filter(c -> c.path.equals("/safe/n") && c.status == 503).toList();
    assertThat(refused).isEmpty();
  }

  /** Guards against blame for what many requests of a lost rack have in common. */
  @ParameterizedTest
  @ValueSource(ints = {3, 6})
  void partsInFlightWhenRacksAreLostStayFree(int rack) {
    PartScenario scenario =
        new PartScenario(4, UPSTREAMS)
            .deadlyEach(Long.MAX_VALUE)
            .soundEach(1)
            .sound(i -> SimulatedPrompt.of(FIRST + i % 3, 0x200 + i % 60, 0x30_0000 + i));
    DispatchSimulation fleet = scenario.fleet();
    for (int end = 0; end < 3; end++) {
      scenario.play(500);
      fleet.upstreams().subList(0, rack).forEach(u -> u.crash(fleet.nowMillis()));
      scenario.play(5_000);
    }
    assertThat(fleet.calls().stream().filter(Call::wasQuarantined).toList()).isEmpty();
  }

  /** A flood of parts that were in flight at crashes must not make the fleet forget the deadly. */
  @Test
  void floodOfNewPartsDoesNotPushTheDeadlyOneOut() {
    PartScenario scenario = new PartScenario(4, UPSTREAMS).play(8_000);
    DispatchSimulation fleet = scenario.fleet();
    long before = PartRule.crashes(fleet, DEADLY);
    scenario.soundEach(5).sound(i -> SimulatedPrompt.of(FIRST, 0x70_0000 + i, 0x30_0000 + i));
    for (int end = 0; end < 10; end++) {
      scenario.play(400);
      fleet.upstreams().get(end).crash(fleet.nowMillis());
    }
    scenario.play(3_000);
    assertThat(PartRule.crashes(fleet, DEADLY) - before).isAtMost(1);
  }
}
