package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.SimulatedUpstream.Run;

/**
 * Guards against a request that ends each upstream that begins it and is sent to upstreams again
 * and again, because it comes back under other ids and at other gateways; and against innocent
 * requests that are refused because they were in flight beside it.
 */
final class DeadlyRequestTest {
  private static final int GATEWAYS = 4;
  private static final int UPSTREAMS = 6;

  /** The time that gateways have to learn what they missed. */
  private static final long STABLE_MILLIS = 3_000;

  /** The number of retries after the third crash that the platform tolerates. */
  private static final int MAX_LATE_RETRIES = 3;

  private static long lateRetries(DispatchSimulation fleet) {
    return Run.lateRetries(fleet.deadlyRuns()).size();
  }

  private static List<Call> innocentCalls(DispatchSimulation fleet) {
    return fleet.calls().stream()
        .filter(c -> !c.body.startsWith(SimulatedUpstream.DEADLY))
        .toList();
  }

  private static void assertNoInnocentIsRefused(DispatchSimulation fleet) {
    assertThat(innocentCalls(fleet).stream().filter(c -> c.wasQuarantined()).toList()).isEmpty();
  }

  private static void assertServed(List<Call> calls) {
    assertThat(calls.stream().filter(c -> c.status != 200).toList()).isEmpty();
  }

  /** Sends a deadly request to one gateway after another, with innocent ones beside it. */
  private static void sendInTurn(DispatchSimulation fleet, int times, String path) {
    for (int i = 0; i < times; i++) {
      fleet.send(i % fleet.gatewayCount(), path, "deadly");
      sendInnocents(fleet, 10, 100);
    }
  }

  private static void sendInnocents(DispatchSimulation fleet, int count, long pauseMillis) {
    for (int i = 0; i < count; i++) {
      fleet.send(i % fleet.gatewayCount(), "/safe/n", "innocent " + fleet.calls().size());
      fleet.advance(pauseMillis);
    }
  }

  @Test
  void requestThatCrashedThreeUpstreamsIsNotSentAgainUnderOtherIdsAndAtOtherGateways() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    sendInTurn(fleet, 60, "/once/x");
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
    assertThat(fleet.deadlyRuns().size()).isAtMost(3 + MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  @Test
  void requestIsKnownWhenUpstreamsReturnUnderNewIds() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, false);
    sendInTurn(fleet, 30, "/safe/x");
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  /** The bound holds although each gateway gets the request at the same moment. */
  @ParameterizedTest
  @ValueSource(ints = {2, 4, 12, 30})
  void requestThatComesToAllGatewaysAtOnceRunsOnceAtATime(int gateways) {
    DispatchSimulation fleet = new DispatchSimulation(gateways, UPSTREAMS, true);
    for (int i = 0; i < 60; i++) {
      for (int gateway = 0; gateway < gateways; gateway++) {
        fleet.send(gateway, "/safe/x", "deadly");
      }
      sendInnocents(fleet, 5, 100);
    }
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  /** In a large fleet, the next regular digest of an instance comes after the wait for claims. */
  @Test
  void instancesThatHaveJustSentDigestsStillHearOfEachOthersClaims() {
    DispatchSimulation fleet = new DispatchSimulation(30, UPSTREAMS, true);
    for (int i = 0; i < 3; i++) {
      fleet.send(5, "/once/x", "deadly");
      fleet.advance(1_000);
    }
    fleet.advance(SimulatedUpstream.RESTART_MILLIS + 2_000);
    int before = fleet.deadlyRuns().size();
    fleet.advanceUntilDigestOf(1);
    fleet.send(0, "/once/x", "deadly");
    fleet.send(1, "/once/x", "deadly");
    fleet.advance(200);
    assertThat(fleet.deadlyRuns()).hasSize(before + 1);
  }

  /** Guards against a completed run that makes crashes before or after it not count. */
  @ParameterizedTest
  @ValueSource(longs = {1, 7, 50})
  void requestThatBecomesDeadlyAfterItCompletedIsStopped(long completedRuns) {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    fleet.upstreams().forEach(u -> u.setDeadlyRule(DeadlyRule.afterRuns(completedRuns)));
    sendInTurn(fleet, 100, "/once/x");
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  /** Guards against runs at upstreams that survive a request which clear it for the others. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4})
  void requestThatEndsUpstreamsOfOneVersionIsStopped(int deadlyUpstreams) {
    DispatchSimulation fleet =
        new DispatchSimulation(
            GATEWAYS, UPSTREAMS, true, upstream -> upstream < deadlyUpstreams ? "v2" : "v1");
    fleet.upstreams().forEach(u -> u.setDeadlyRule(DeadlyRule.atVersion("v2")));
    sendInTurn(fleet, 100, "/safe/x");
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  /** Guards against callers whose leaving hides that their requests end upstreams. */
  @ParameterizedTest
  @ValueSource(longs = {10, 300})
  void requestWhoseCallersLeaveSoonIsStopped(long millisToCrash) {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    fleet.upstreams().forEach(u -> u.setCrashMillis(millisToCrash));
    for (int i = 0; i < 60; i++) {
      Call call = fleet.send(i % GATEWAYS, "/once/x", "deadly");
      fleet.advance(5);
      call.leave();
      sendInnocents(fleet, 10, 100);
    }
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  static Stream<String> bytesBeforeTheEnd() {
    String end = "Content-Length: 2\r\n\r\nok";
    return Stream.of(
        "no response\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Stamp: s\r\n" + end,
        "HTTP/1.1 200 OK\r\n" + end,
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + end);
  }

  /** Guards against bytes that end an attempt before the upstream ends, so that it goes unseen. */
  @ParameterizedTest
  @MethodSource("bytesBeforeTheEnd")
  void requestIsStoppedWhoseUpstreamsSendOtherBytesBeforeTheyEnd(String bytes) {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    for (SimulatedUpstream upstream : fleet.upstreams()) {
      upstream.setCrashMillis(30);
      upstream.setScript(
          id ->
              id.startsWith("deadly")
                  ? UpstreamBehavior.runsAndSends(10, bytes)
                  : UpstreamBehavior.NORMAL);
    }
    for (int i = 0; i < 60; i++) {
      fleet.sendWithId(i % GATEWAYS, "/safe/x", "deadly", "deadly" + i);
      sendInnocents(fleet, 10, 100);
    }
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  /** Guards against trials without end that upstreams refuse, each of which reaches one. */
  @Test
  void trialsThatUpstreamsRefuseAreFew() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    sendInTurn(fleet, 3, "/safe/x");
    AtomicInteger refused = new AtomicInteger();
    for (SimulatedUpstream upstream : fleet.upstreams()) {
      upstream.setScript(
          id -> {
            if (!id.startsWith("deadly")) {
              return UpstreamBehavior.NORMAL;
            }
            refused.incrementAndGet();
            return UpstreamBehavior.sends(
                new UpstreamBehavior.Write(1, UpstreamBehavior.refusal(id)));
          });
    }
    for (int i = 0; i < 90; i++) {
      fleet.sendWithId(i % GATEWAYS, "/safe/x", "deadly", "deadly" + i);
      sendInnocents(fleet, 10, 100);
    }
    assertThat(refused.get()).isAtMost(MAX_LATE_RETRIES);
    assertNoInnocentIsRefused(fleet);
  }

  @Test
  void quarantinedRequestIsRefusedAtOnceAsNotRun() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    sendInTurn(fleet, 10, "/safe/x");
    Call call = fleet.send(1, "/safe/x", "deadly");
    assertThat(call.status).isEqualTo(503);
    assertThat(Double.parseDouble(call.headers.get("Retry-After"))).isGreaterThan(3_000.0);
    assertThat(fleet.deadlyRuns().stream().map(r -> r.requestId())).doesNotContain(call.id);
  }

  /** A status that says "not run" must be true for each id, also for the run that quarantines. */
  @Test
  void requestThatRanIsNeverAnsweredAsNotRun() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    sendInTurn(fleet, 20, "/safe/x");
    var ran = fleet.deadlyRuns().stream().map(r -> r.requestId()).distinct().toList();
    assertThat(fleet.calls().stream().filter(c -> ran.contains(c.id)).map(c -> c.status).distinct())
        .containsExactly(502);
  }

  @Test
  void requestIsKnownToGatewaysThatRestartedOrWereAddedLater() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    sendInTurn(fleet, 5, "/once/x");
    long before = fleet.deadlyRuns().size();
    fleet.restart(0);
    fleet.restart(1);
    fleet.addGateway();
    fleet.advance(STABLE_MILLIS);
    sendInTurn(fleet, 20, "/once/x");
    assertThat(fleet.deadlyRuns().size() - before).isEqualTo(0);
  }

  @Test
  void requestIsKnownToGatewaysThatWerePausedOrCutOff() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    fleet.setPaused(2, true);
    fleet.setCutOff(3, true);
    sendInTurn(fleet, 8, "/once/x");
    fleet.setPaused(2, false);
    fleet.setCutOff(3, false);
    fleet.advance(STABLE_MILLIS);
    long before = fleet.deadlyRuns().size();
    sendInTurn(fleet, 20, "/once/x");
    assertThat(fleet.deadlyRuns().size() - before).isEqualTo(0);
  }

  @Test
  void requestIsKnownAfterALongPause() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    sendInTurn(fleet, 2, "/once/x");
    fleet.advance(120_000);
    sendInTurn(fleet, 2, "/once/x");
    fleet.advance(120_000);
    sendInTurn(fleet, 20, "/once/x");
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
  }

  /** Sends many requests that are all in flight when upstreams end, again and again. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 5})
  void requestsInFlightAtTheEndOfARackTwiceInARowAreServed(int rack) {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    for (int end = 0; end < 2; end++) {
      for (int i = 0; i < 300; i++) {
        fleet.send(i % GATEWAYS, "/safe/n", "innocent " + i);
      }
      fleet.advance(5);
      fleet.upstreams().subList(0, rack).forEach(u -> u.crash(fleet.nowMillis()));
      fleet.advance(SimulatedUpstream.RESTART_MILLIS + 2_000);
    }
    assertNoInnocentIsRefused(fleet);
    for (int i = 0; i < 300; i++) {
      fleet.send(i % GATEWAYS, "/safe/n", "innocent " + i);
    }
    fleet.advance(4_000);
    assertServed(innocentCalls(fleet).subList(600, 900));
  }

  /** Many callers send the same content, so that it is in flight everywhere at each end. */
  @Test
  void contentThatManyCallersSendIsServedAfterTheEndsOfRacks() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    for (int end = 0; end < 4; end++) {
      for (int i = 0; i < 200; i++) {
        fleet.send(i % GATEWAYS, "/safe/n", "the same");
      }
      fleet.advance(5);
      fleet.upstreams().subList(end % 2, 4 + end % 2).forEach(u -> u.crash(fleet.nowMillis()));
      fleet.advance(SimulatedUpstream.RESTART_MILLIS + 2_000);
    }
    assertNoInnocentIsRefused(fleet);
    Call call = fleet.send(0, "/safe/n", "the same");
    fleet.advance(1_000);
    assertServed(List.of(call));
  }

  /** The end of a rack twice in a row, and then the first crash of a deadly request beside them. */
  @Test
  void neighboursOfTwoEndsOfARackAndOfADeadlyRequestAreServed() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    for (int end = 0; end < 3; end++) {
      for (int i = 0; i < 100; i++) {
        fleet.send(i % GATEWAYS, "/safe/n", "innocent " + i);
      }
      if (end < 2) {
        fleet.advance(5);
        fleet.upstreams().forEach(u -> u.crash(fleet.nowMillis()));
      } else {
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          fleet.send(gateway, "/safe/x", "deadly");
        }
      }
      fleet.advance(SimulatedUpstream.RESTART_MILLIS + 2_000);
    }
    for (int i = 0; i < 100; i++) {
      fleet.send(i % GATEWAYS, "/safe/n", "innocent " + i);
    }
    fleet.advance(4_000);
    assertNoInnocentIsRefused(fleet);
    assertServed(innocentCalls(fleet).subList(300, 400));
  }
}
