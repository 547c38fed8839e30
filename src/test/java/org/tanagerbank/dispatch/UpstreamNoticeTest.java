package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;
import org.tanagerbank.dispatch.UpstreamTraffic.Arrival;

/**
 * Guards against requests that are sent to an upstream that has asked this gateway for a pause or
 * has said that it leaves, and against waves and overload that follow from such pauses.
 */
final class UpstreamNoticeTest {
  private static final long PAUSE_MILLIS = 5_000;

  private static String refusal(String id, String retryAfter) {
    return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: "
        + id
        + "\r\nRetry-After: "
        + retryAfter
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /** Lets an upstream refuse everything with a pause. */
  private static void refuseAll(SimulatedUpstream upstream, String retryAfter) {
    upstream.setScript(id -> UpstreamBehavior.sends(new Write(1, refusal(id, retryAfter))));
  }

  private static List<Call> send(DispatchSimulation fleet, int count, long intervalMillis) {
    return send(fleet, "/safe/x", count, intervalMillis);
  }

  private static List<Call> send(
      DispatchSimulation fleet, String path, int count, long intervalMillis) {
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      calls.add(fleet.send(i % fleet.gatewayCount(), path, "body " + fleet.calls().size()));
      fleet.advance(intervalMillis);
    }
    return calls;
  }

  private static long served(List<Call> calls) {
    return calls.stream().filter(c -> c.status == 200).count();
  }

  private static List<Arrival> inPauses(DispatchSimulation fleet) {
    return fleet.upstreams().stream().flatMap(u -> NoticeRules.inPauses(u).stream()).toList();
  }

  private static List<Arrival> afterLeaving(DispatchSimulation fleet) {
    return fleet.upstreams().stream().flatMap(u -> NoticeRules.afterLeaving(u).stream()).toList();
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/once/x", "/stream/x", "/resume/x"})
  void upstreamIsLeftAloneForThePauseThatItAskedFor(String path) {
    DispatchSimulation fleet = new DispatchSimulation(2, 2, true);
    refuseAll(fleet.upstreams().get(0), "5");
    List<Call> calls = send(fleet, path, 90, 50);
    fleet.advance(1_000);
    assertThat(inPauses(fleet)).isEmpty();
    assertThat(served(calls)).isEqualTo(90);
  }

  @Test
  void upstreamIsUsedAgainAfterItsPause() {
    DispatchSimulation fleet = new DispatchSimulation(1, 2, true);
    refuseAll(fleet.upstreams().get(0), "0.8");
    send(fleet, 60, 50);
    assertThat(inPauses(fleet)).isEmpty();
    assertThat(fleet.upstreams().get(0).traffic().arrivals().size()).isAtLeast(3);
  }

  @Test
  void requestsAreRefusedAtOnceWhileAllUpstreamsPause() {
    DispatchSimulation fleet = new DispatchSimulation(1, 2, true);
    fleet.upstreams().forEach(u -> refuseAll(u, "5"));
    List<Call> calls = send(fleet, 100, 40);
    assertThat(inPauses(fleet)).isEmpty();
    Call last = calls.get(99);
    assertThat(last.status).isEqualTo(503);
    long waited = 99 * 40;
    long retryAfterMillis = Math.round(Double.parseDouble(last.headers.get("Retry-After")) * 1_000);
    assertThat(retryAfterMillis).isAtLeast(PAUSE_MILLIS - waited - 100);
    assertThat(retryAfterMillis).isAtMost(PAUSE_MILLIS - waited + 1_100);
  }

  /** Callers that were told the same time would come back as one wave. */
  @Test
  void refusedCallersAreToldToReturnAtDifferentTimes() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    refuseAll(fleet.upstreams().get(0), "3");
    send(fleet, 5, 40);
    Set<Long> hundredths = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      Call call = fleet.send(0, "/safe/x", "wave " + i);
      hundredths.add(Math.round(Double.parseDouble(call.headers.get("Retry-After")) * 100));
    }
    assertThat(hundredths.size()).isAtLeast(30);
  }

  /** A connection that opens slowly must not carry a request into a pause. */
  @Test
  void requestPlacedBeforeThePauseIsNotSentInIt() {
    DispatchSimulation fleet = new DispatchSimulation(1, 2, true);
    SimulatedUpstream slow = fleet.upstreams().get(0);
    slow.setScript(id -> UpstreamBehavior.sends(new Write(100, refusal(id, "5"))));
    fleet.upstreams().get(1).holdConnections(true);
    send(fleet, 6, 1);
    slow.holdConnections(true);
    List<Call> later = send(fleet, 6, 1);
    fleet.advance(1_000);
    slow.holdConnections(false);
    fleet.upstreams().get(1).holdConnections(false);
    fleet.advance(1_000);
    assertThat(inPauses(fleet)).isEmpty();
    assertThat(served(later)).isEqualTo(6);
  }

  /** An engine refuses what has waited too long at the moment at which the gateway gives it up. */
  @Test
  void pauseThatArrivesJustAfterTheTimeLimitIsKept() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    SimulatedUpstream upstream = fleet.upstreams().get(0);
    long lateMillis = DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 50;
    upstream.setScript(id -> UpstreamBehavior.sends(new Write(lateMillis, refusal(id, "5"))));
    Call first = send(fleet, 1, lateMillis + 100).get(0);
    assertThat(first.status).isEqualTo(504);
    upstream.setScript(id -> UpstreamBehavior.NORMAL);
    List<Call> calls = send(fleet, 60, 50);
    assertThat(inPauses(fleet)).isEmpty();
    assertThat(upstream.traffic().arrivals()).hasSize(1);
    assertThat(served(calls)).isEqualTo(0);
    assertThat(upstream.openConnections()).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 503 X\r\n", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"})
  void pauseCountsWhateverElseTheRefusalSays(String head) {
    for (String id : List.of("Request-Id: other\r\n", "")) {
      String text = head + id + "Retry-After: 5\r\nContent-Length: 0\r\n\r\n";
      DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
      SimulatedUpstream upstream = fleet.upstreams().get(0);
      upstream.setScript(
          unused ->
              upstream.traffic().arrivals().size() == 1
                  ? UpstreamBehavior.runsAndOnlySends(1, text)
                  : UpstreamBehavior.NORMAL);
      send(fleet, 60, 50);
      assertThat(inPauses(fleet)).isEmpty();
    }
  }

  @ParameterizedTest
  @CsvSource({"5,0.1", "5,0", "0.1,5", "5,soon", "1.5,1.5"})
  void laterAnswerDoesNotShortenAPause(String first, String second) {
    DispatchSimulation fleet = new DispatchSimulation(1, 2, true);
    SimulatedUpstream upstream = fleet.upstreams().get(0);
    upstream.setScript(
        id ->
            upstream.traffic().arrivals().size() == 1
                ? UpstreamBehavior.sends(
                    new Write(1, refusal(id, first)), new Write(60, refusal("late", second)))
                : UpstreamBehavior.NORMAL);
    send(fleet, 200, 20);
    double longest = first.equals("0.1") ? 0.1 : Double.parseDouble(first);
    long asked = upstream.traffic().notices().get(0).atMillis();
    List<Arrival> within =
        upstream.traffic().arrivals().stream()
            .filter(a -> a.atMillis() > asked && a.atMillis() < asked + longest * 1_000)
            .toList();
    assertThat(within).isEmpty();
  }

  @Test
  void newProcessAtTheAddressIsNotBoundByThePause() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    SimulatedUpstream upstream = fleet.upstreams().get(0);
    refuseAll(upstream, "600");
    send(fleet, 3, 40);
    upstream.crash(fleet.nowMillis());
    upstream.setScript(id -> UpstreamBehavior.NORMAL);
    fleet.advance(SimulatedUpstream.RESTART_MILLIS + 1_000);
    List<Call> calls = send(fleet, 10, 50);
    assertThat(served(calls)).isEqualTo(10);
  }

  /** A restarted process may answer before the gateway learns from its report that it started. */
  @Test
  void pauseOfARestartedProcessOutlastsItsReport() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    SimulatedUpstream upstream = fleet.upstreams().get(0);
    send(fleet, 2, 100);
    upstream.crash(fleet.nowMillis());
    refuseAll(upstream, "3");
    fleet.advance(SimulatedUpstream.RESTART_MILLIS);
    send(fleet, 100, 30);
    assertThat(upstream.traffic().notices()).isNotEmpty();
    assertThat(inPauses(fleet)).isEmpty();
  }

  /** One free upstream must not get the requests of all that pause beyond what it can work on. */
  @Test
  void lastFreeUpstreamIsNotOverloaded() {
    DispatchSimulation fleet = new DispatchSimulation(1, 4, true);
    fleet.upstreams().subList(0, 3).forEach(u -> refuseAll(u, "5"));
    send(fleet, 20, 20);
    SimulatedUpstream free = fleet.upstreams().get(3);
    free.setScript(id -> UpstreamBehavior.runsAndOnlySends(3_000, ""));
    int before = free.traffic().arrivals().size();
    List<Call> calls = send(fleet, 400, 1);
    assertThat(free.traffic().arrivals().size() - before).isAtMost(2 * free.report().slots());
    long refused = calls.stream().filter(c -> c.status == 503).count();
    assertWithMessage("refused at once").that(refused).isAtLeast(200);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/once/x", "/stream/x"})
  void upstreamThatSaysThatItLeavesGetsNothingMore(String path) {
    DispatchSimulation fleet = new DispatchSimulation(2, 3, true);
    send(fleet, path, 12, 50);
    fleet.upstreams().get(0).setExtraHeaders("Server-Leaving: 1\r\n");
    List<Call> calls = send(fleet, path, 120, 50);
    fleet.advance(1_000);
    assertThat(afterLeaving(fleet)).isEmpty();
    assertThat(served(calls)).isEqualTo(120);
  }

  @Test
  void restartedUpstreamIsUsedAgainAfterItLeft() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    SimulatedUpstream upstream = fleet.upstreams().get(0);
    upstream.setExtraHeaders("Server-Leaving: 1\r\n");
    send(fleet, 2, 100);
    upstream.crash(fleet.nowMillis());
    upstream.setExtraHeaders("");
    fleet.advance(SimulatedUpstream.RESTART_MILLIS + 1_000);
    assertThat(served(send(fleet, 5, 100))).isEqualTo(5);
  }
}
