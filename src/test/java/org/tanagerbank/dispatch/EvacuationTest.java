package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;
import org.tanagerbank.store.TopicPosition;

/**
 * Guards against requests that reach an evacuated zone on any of the paths that send, against
 * running requests that an order breaks off, and against orders that get lost or never end.
 */
final class EvacuationTest {
  private static final TopicPosition POSITION = new TopicPosition(1, 5);
  private static final TopicPosition AFTER_RESTORE = new TopicPosition(2, 3);

  /** Longer than gateways take to learn of a new report. */
  private static final long REPORT_MILLIS = 1_000;

  /** Upstreams 0 and 1 are in zone "a", upstreams 2 and 3 in zone "b". */
  private final DispatchSimulation fleet = new DispatchSimulation(1, 4, true);

  private final EvacuatedZones zones = fleet.dispatcher(0).sharedUpstreamState().evacuatedZones();

  EvacuationTest() {
    IntStream.range(0, 4).forEach(i -> fleet.upstreams().get(i).setZone(i < 2 ? "a" : "b"));
  }

  private void learnZones() {
    fleet.advance(REPORT_MILLIS);
  }

  private void evacuate(String zone) {
    zones.applyRecord(zone, true, POSITION);
  }

  private List<Call> send(int count, String path) {
    List<Call> calls =
        IntStream.range(0, count)
            .mapToObj(i -> fleet.send(0, path, "body " + fleet.calls().size() + i))
            .toList();
    fleet.advance(2_000);
    return calls;
  }

  private long arrivals(int upstream) {
    return fleet.upstreams().get(upstream).traffic().arrivals().size();
  }

  private long arrivalsInB() {
    return arrivals(2) + arrivals(3);
  }

  private static long served(List<Call> calls) {
    return calls.stream().filter(c -> c.status == 200).count();
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/once/x", "/stream/x", "/resume/x"})
  void firstAttemptsStayOutOfAnEvacuatedZoneUntilTheOrderIsRemoved(String path) {
    learnZones();
    evacuate("b");
    assertThat(served(send(40, path))).isEqualTo(40);
    assertThat(arrivalsInB()).isEqualTo(0);
    zones.applyRecord("b", false, POSITION);
    assertThat(served(send(40, path))).isEqualTo(40);
    assertThat(arrivalsInB()).isGreaterThan(0);
  }

  @Test
  void retriesStayOutOfAnEvacuatedZone() {
    learnZones();
    fleet
        .upstreams()
        .get(0)
        .setScript(id -> UpstreamBehavior.sends(new Write(1, UpstreamBehavior.refusal(id))));
    evacuate("b");
    // Few enough for the retry budget.
    assertThat(served(send(8, "/safe/x"))).isEqualTo(8);
    assertThat(arrivals(0)).isGreaterThan(0);
    assertThat(arrivalsInB()).isEqualTo(0);
  }

  @Test
  void streamsGoOnOutsideOfAnEvacuatedZone() {
    learnZones();
    List<Call> streams =
        IntStream.range(0, 20).mapToObj(i -> fleet.send(0, "/resume/x", "s" + i)).toList();
    fleet.advance(50);
    long before = arrivalsInB();
    evacuate("b");
    fleet.upstreams().get(0).crash(fleet.nowMillis());
    fleet.advance(2_000);
    assertThat(arrivalsInB()).isEqualTo(before);
    assertThat(arrivals(1)).isGreaterThan(5);
    for (Call stream : streams) {
      assertThat(stream.eventFields("id")).hasSize(SimulatedStream.EVENTS);
    }
  }

  @Test
  void trialsStayOutOfAnEvacuatedZone() {
    learnZones();
    evacuate("b");
    for (int i = 0; i < 40; i++) {
      fleet.send(0, "/safe/x", SimulatedUpstream.DEADLY);
      fleet.advance(200);
    }
    assertThat(fleet.deadlyRuns().size()).isAtLeast(3);
    assertThat(arrivalsInB()).isEqualTo(0);
  }

  @Test
  void cacheQueriesStayOutOfAnEvacuatedZone() {
    learnZones();
    UpstreamQuery begun = fleet.dispatcher(0).sharedUpstreamState().beginQuery("u2").orElseThrow();
    assertThat(begun.maySend().getAsBoolean()).isTrue();
    evacuate("b");
    assertThat(begun.maySend().getAsBoolean()).isFalse();
    assertThat(fleet.dispatcher(0).sharedUpstreamState().beginQuery("u2")).isEmpty();
    assertThat(fleet.dispatcher(0).sharedUpstreamState().beginQuery("u0")).isPresent();
  }

  @Test
  void orderBetweenTheChoiceAndTheOpenConnectionIsObeyed() {
    learnZones();
    fleet.upstreams().forEach(u -> u.holdConnections(true));
    List<Call> calls =
        IntStream.range(0, 20).mapToObj(i -> fleet.send(0, "/safe/x", "s" + i)).toList();
    evacuate("b");
    fleet.upstreams().forEach(u -> u.holdConnections(false));
    fleet.advance(2_000);
    assertThat(arrivalsInB()).isEqualTo(0);
    assertThat(served(calls)).isEqualTo(20);
  }

  @Test
  void runningRequestsGoOnInAnEvacuatedZone() {
    learnZones();
    List<Call> calls =
        IntStream.range(0, 20).mapToObj(i -> fleet.send(0, "/once/x", "s" + i)).toList();
    fleet.advance(10);
    long running = arrivalsInB();
    evacuate("b");
    assertThat(zones.inFlightByZone()).isEqualTo(ImmutableMap.of("b", (int) running));
    fleet.advance(2_000);
    assertThat(running).isGreaterThan(0);
    assertThat(served(calls)).isEqualTo(20);
    assertThat(fleet.runs()).hasSize(20);
    assertThat(zones.inFlightByZone()).isEqualTo(ImmutableMap.of("b", 0));
  }

  @Test
  void requestsAreRefusedAtOnceWhileAllZonesAreEvacuated() {
    learnZones();
    evacuate("a");
    evacuate("b");
    for (String path : ImmutableList.of("/safe/x", "/once/x", "/resume/x")) {
      Call call = fleet.send(0, path, "body");
      assertThat(call.status).isEqualTo(503);
      assertThat(call.text()).contains(Refusal.UPSTREAMS_EVACUATED);
      assertThat(Double.parseDouble(call.headers.get("Retry-After"))).isGreaterThan(0);
    }
    assertThat(fleet.runs()).isEmpty();
  }

  /** A pause in an evacuated zone would promise room there. */
  @Test
  void pauseInAnEvacuatedZoneIsNoReasonToReturn() {
    learnZones();
    String pause = UpstreamBehavior.refusal("r").replace("\r\nNot", "\r\nRetry-After: 5\r\nNot");
    fleet
        .upstreams()
        .forEach(
            u ->
                u.setScript(
                    id ->
                        UpstreamBehavior.sends(new Write(1, pause.replace("Id: r", "Id: " + id)))));
    send(4, "/safe/x");
    assertThat(fleet.send(0, "/safe/x", "body").text()).contains(Refusal.UPSTREAMS_BUSY);
    evacuate("a");
    evacuate("b");
    assertThat(fleet.send(0, "/safe/x", "body").text()).contains(Refusal.UPSTREAMS_EVACUATED);
  }

  @Test
  void orderForAZoneWithoutUpstreamsHoldsOnceUpstreamsReportThere() {
    evacuate("b");
    evacuate("nowhere");
    assertThat(served(send(20, "/safe/x"))).isEqualTo(20);
    learnZones();
    long before = arrivalsInB();
    assertThat(served(send(40, "/safe/x"))).isEqualTo(40);
    assertThat(arrivalsInB()).isEqualTo(before);
  }

  @Test
  void snapshotWithoutTheOrderEndsIt() {
    learnZones();
    zones.applySnapshot(ImmutableSet.of("a", "b"), POSITION);
    zones.applySnapshot(ImmutableSet.of("a"), POSITION);
    assertThat(zones.inFlightByZone().keySet()).containsExactly("a");
  }

  /** The operator's records are written again within the grace period, or not at all. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void orderThatARestoredStoreLacksIsKeptForTheGracePeriod(boolean isWrittenAgain) {
    learnZones();
    zones.applySnapshot(ImmutableSet.of("b"), POSITION);
    zones.applySnapshot(ImmutableSet.of(), AFTER_RESTORE);
    fleet.advance(1_000);
    // A further snapshot of the same era does not end the grace period.
    zones.applySnapshot(ImmutableSet.of(), AFTER_RESTORE);
    if (isWrittenAgain) {
      zones.applyRecord("b", true, AFTER_RESTORE.plus(1));
    }
    fleet.advance(1_190);
    assertThat(zones.inFlightByZone().keySet()).containsExactly("b");
    fleet.advance(300);
    assertThat(zones.inFlightByZone().keySet().contains("b")).isEqualTo(isWrittenAgain);
  }
}
