package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.route.ColdLimits;

/** Guards against gateways that send to cold upstreams without bound, or that make callers wait. */
final class UpstreamColdTest {
  private static List<Call> send(DispatchSimulation fleet, long millis) {
    int before = fleet.calls().size();
    for (long t = 0; t < millis; t += 20) {
      fleet.send(fleet.calls().size() % fleet.gatewayCount(), "/once/x", "body " + t);
      fleet.advance(20);
    }
    return fleet.calls().subList(before, fleet.calls().size());
  }

  private static long arrivals(DispatchSimulation fleet, int upstream, long fromMillis) {
    return fleet.upstreams().get(upstream).traffic().arrivals().stream()
        .filter(a -> a.atMillis() >= fromMillis)
        .count();
  }

  private static void becomeCold(DispatchSimulation fleet, int upstreams) {
    fleet.adopt(SimulationRoutes.withCold(new ColdLimits(30_000, 4)));
    fleet.advance(3_000);
    fleet.upstreams().subList(0, upstreams).forEach(u -> u.setExtraHeaders("Cold-Ms: 30000\r\n"));
    send(fleet, 1_000);
  }

  @Test
  void whatColdUpstreamsHaveNoRoomForIsRefusedAtOnce() {
    DispatchSimulation fleet = new DispatchSimulation(2, 2, true);
    becomeCold(fleet, 2);
    List<Call> refused = send(fleet, 4_000).stream().filter(c -> c.status == 503).toList();
    assertThat(refused.size()).isAtLeast(100);
    assertThat(refused.get(0).text()).startsWith(Refusal.UPSTREAMS_COLD);
    assertThat(refused.stream().filter(c -> c.headers.get("Retry-After") == null).toList())
        .isEmpty();
    PromiseCheck.assertPromisesKept(fleet);
  }

  @Test
  void requestsGoElsewhereWhileOthersAreWarm() {
    DispatchSimulation fleet = new DispatchSimulation(2, 2, true);
    becomeCold(fleet, 1);
    long from = fleet.nowMillis();
    assertThat(send(fleet, 4_000).stream().filter(c -> c.status == 503).toList()).isEmpty();
    assertThat(arrivals(fleet, 0, from)).isAtMost(4 * 4 + 5);
  }

  /** A process that has crashed may be back before its new report is read. */
  @Test
  void upstreamThatRefusedAConnectionIsCold() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    fleet.adopt(SimulationRoutes.withCold(new ColdLimits(30_000, 1)));
    fleet.advance(3_000);
    fleet.setStoreCutOff(0, true);
    fleet.upstreams().get(0).crash(fleet.nowMillis());
    fleet.send(0, "/once/x", "body");
    fleet.advance(10);
    long from = fleet.nowMillis();
    send(fleet, SimulatedUpstream.RESTART_MILLIS + 500);
    assertThat(arrivals(fleet, 0, from)).isAtMost(3);
  }
}
