package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamTraffic.Arrival;

/**
 * Guards against an upstream that gets far more requests, from all gateways together, than the
 * limit that it names in its responses; and against callers that pay for it without need.
 */
final class UpstreamLimitTest {
  private static void limit(DispatchSimulation fleet, int upstreams, String perSecond) {
    fleet
        .upstreams()
        .subList(0, upstreams)
        .forEach(u -> u.setExtraHeaders("Server-Limit: " + perSecond + "\r\n"));
  }

  private static void unlimit(DispatchSimulation fleet) {
    fleet.upstreams().forEach(u -> u.setExtraHeaders(""));
  }

  /** Sends requests to the gateways in turn. */
  private static List<Call> send(DispatchSimulation fleet, long millis, long intervalMillis) {
    int before = fleet.calls().size();
    for (long t = 0; t < millis; t += intervalMillis) {
      int i = fleet.calls().size();
      fleet.send(i % fleet.gatewayCount(), "/once/x", "body " + i);
      fleet.advance(intervalMillis);
    }
    return fleet.calls().subList(before, fleet.calls().size());
  }

  private static double servedShare(List<Call> calls) {
    return (double) calls.stream().filter(c -> c.status == 200).count() / calls.size();
  }

  private static List<Arrival> arrivals(DispatchSimulation fleet, int upstream, long fromMillis) {
    return fleet.upstreams().get(upstream).traffic().arrivals().stream()
        .filter(a -> a.atMillis() >= fromMillis)
        .toList();
  }

  private static void assertLimitsKept(DispatchSimulation fleet) {
    assertWithMessage("requests beyond limits").that(LimitRule.breaches(fleet)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "1, 2, 2, 5.0",
    "1, 2, 1, 5.0",
    "1, 2, 1, 0.5",
    "4, 3, 2, 3.1",
    "4, 13, 9, 3.5",
    "12, 6, 3, 2"
  })
  void upstreamsGetWhatTheirLimitsAllow(
      int gateways, int upstreams, int limited, String perSecond) {
    DispatchSimulation fleet = new DispatchSimulation(gateways, upstreams, true);
    limit(fleet, limited, perSecond);
    List<Call> calls = send(fleet, 15_000, 22);
    fleet.advance(1_000);
    assertLimitsKept(fleet);
    if (limited < upstreams) {
      assertThat(servedShare(calls)).isEqualTo(1.0);
    }
  }

  @ParameterizedTest
  @CsvSource({"0.5, 25", "5, 10", "20, 10"})
  void sharesOfManyGatewaysAddUpToTheLimit(String perSecond, long intervalMillis) {
    DispatchSimulation fleet = new DispatchSimulation(40, 3, true);
    limit(fleet, 3, perSecond);
    send(fleet, 12_000, intervalMillis);
    assertLimitsKept(fleet);
  }

  /** Callers that come after a calm time must not find a token at each of many gateways. */
  @Test
  void gatewaysThatWereIdleDoNotSendABurst() {
    DispatchSimulation fleet = new DispatchSimulation(40, 2, true);
    limit(fleet, 2, "5");
    send(fleet, 6_000, 20);
    for (int burst = 0; burst < 5; burst++) {
      fleet.advance(10_000);
      send(fleet, 200, 1);
    }
    assertLimitsKept(fleet);
  }

  /** A gateway with most of the callers gets most of what the upstreams take. */
  @Test
  void limitIsUsedWhereTheCallersAre() {
    DispatchSimulation fleet = new DispatchSimulation(4, 2, true);
    limit(fleet, 2, "20");
    long start = fleet.nowMillis();
    for (int i = 0; i < 1_200; i++) {
      fleet.send(i % 12 == 0 ? 1 + i % 3 : 0, "/once/x", "body " + i);
      fleet.advance(10);
    }
    assertLimitsKept(fleet);
    long served = fleet.calls().stream().filter(c -> c.status == 200).count();
    long allowed = 2 * 20 * (fleet.nowMillis() - start) / 1_000;
    assertThat((double) served).isAtLeast(0.7 * allowed);
  }

  @Test
  void whatCannotBeServedIsRefusedAtOnceWithSpreadTimesToReturn() {
    DispatchSimulation fleet = new DispatchSimulation(2, 2, true);
    limit(fleet, 2, "4");
    send(fleet, 4_000, 20);
    List<Call> calls = send(fleet, 4_000, 20);
    List<Call> refused = calls.stream().filter(c -> c.status == 503).toList();
    assertThat(refused.size()).isAtLeast(100);
    assertThat(refused.stream().filter(c -> c.headers.get("Retry-After") == null).toList())
        .isEmpty();
    long distinct = refused.stream().map(c -> c.headers.get("Retry-After")).distinct().count();
    assertThat(distinct).isAtLeast(50);
    assertThat(calls.stream().filter(c -> !c.isEnded).count()).isAtMost(3);
    PromiseCheck.assertPromisesKept(fleet);
  }

  @Test
  void upstreamIsUsedAgainWhenItNamesNoLimitAnyMore() {
    DispatchSimulation fleet = new DispatchSimulation(3, 2, true);
    limit(fleet, 1, "1");
    send(fleet, 8_000, 20);
    assertLimitsKept(fleet);
    unlimit(fleet);
    send(fleet, 5_000, 20);
    long from = fleet.nowMillis();
    send(fleet, 3_000, 20);
    assertThat(arrivals(fleet, 0, from).size()).isAtLeast(40);
  }

  @Test
  void newProcessIsNotBoundByTheLimitOfTheOneBefore() {
    DispatchSimulation fleet = new DispatchSimulation(2, 2, true);
    limit(fleet, 1, "1");
    send(fleet, 6_000, 20);
    fleet.upstreams().get(0).crash(fleet.nowMillis());
    unlimit(fleet);
    fleet.advance(SimulatedUpstream.RESTART_MILLIS + 1_500);
    long from = fleet.nowMillis();
    send(fleet, 3_000, 20);
    assertThat(arrivals(fleet, 0, from).size()).isAtLeast(40);
  }

  /** A value that is no limit takes none away and sets none. */
  @ParameterizedTest
  @ValueSource(strings = {"-1", "many", "NaN", "1e300", "Infinity"})
  void valuesThatAreNoLimitAreIgnored(String value) {
    DispatchSimulation fleet = new DispatchSimulation(2, 2, true);
    limit(fleet, 2, value);
    assertThat(servedShare(send(fleet, 4_000, 20))).isAtLeast(0.99);
  }

  /** A limit of zero leaves room only for asking whether it still holds. */
  @Test
  void upstreamThatWantsNothingGetsFewRequests() {
    DispatchSimulation fleet = new DispatchSimulation(4, 2, true);
    limit(fleet, 1, "0");
    List<Call> calls = send(fleet, 20_000, 20);
    fleet.advance(1_000);
    assertThat(servedShare(calls)).isEqualTo(1.0);
    assertLimitsKept(fleet);
    long from = fleet.nowMillis();
    unlimit(fleet);
    send(fleet, 15_000, 20);
    assertThat(arrivals(fleet, 0, from).size()).isAtLeast(100);
  }

  @Test
  void changedLimitIsKept() {
    DispatchSimulation fleet = new DispatchSimulation(4, 3, true);
    for (String perSecond : List.of("10", "2", "6", "0.5", "12", "3")) {
      limit(fleet, 2, perSecond);
      send(fleet, 5_000, 15);
    }
    assertLimitsKept(fleet);
  }

  @Test
  void limitIsKeptWhenGatewaysRestartJoinOrAreCutOff() {
    DispatchSimulation fleet = new DispatchSimulation(4, 3, true);
    limit(fleet, 3, "4");
    send(fleet, 4_000, 15);
    fleet.restart(0);
    send(fleet, 3_000, 15);
    fleet.addGateway();
    send(fleet, 3_000, 15);
    fleet.setCutOff(1, true);
    send(fleet, 5_000, 15);
    fleet.setCutOff(1, false);
    send(fleet, 5_000, 15);
    assertLimitsKept(fleet);
  }

  /** Connections that open late must not let requests pass that were chosen below the limit. */
  @Test
  void requestsWhoseConnectionsOpenLateAreCounted() {
    DispatchSimulation fleet = new DispatchSimulation(2, 1, true);
    limit(fleet, 1, "2");
    send(fleet, 4_000, 20);
    fleet.upstreams().get(0).holdConnections(true);
    send(fleet, 3_000, 20);
    fleet.upstreams().get(0).holdConnections(false);
    send(fleet, 3_000, 20);
    assertLimitsKept(fleet);
  }
}
