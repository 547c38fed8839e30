package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.TestRoutes;
import org.tanagerbank.route.Workspace;

/**
 * Guards against requests that wait at upstreams although their responses would come too late, and
 * against refusals while upstreams have room or that promise what does not hold.
 */
final class AdmissionTest {
  private final DispatchSimulation fleet = new DispatchSimulation(2, 3, true);

  /** Sends requests to upstreams that report a load and answer after a time. */
  private List<Call> send(String load, int upstreams, long millis) {
    fleet
        .upstreams()
        .subList(0, upstreams)
        .forEach(u -> u.setScript(id -> answer(id, load, millis)));
    int before = fleet.calls().size();
    for (int i = 0; i < 300; i++) {
      fleet.send(i % 2, "/once/x", "body " + i);
      fleet.advance(10);
    }
    fleet.advance(2_000);
    PromiseCheck.assertPromisesKept(fleet);
    return fleet.calls().subList(before, fleet.calls().size());
  }

  private static UpstreamBehavior answer(String id, String load, long millis) {
    return UpstreamBehavior.runsAndOnlySends(
        millis,
        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
            + id
            + "\r\nServer-Load: "
            + load
            + "\r\nContent-Length: 0\r\n\r\n");
  }

  private static List<Call> refused(List<Call> calls) {
    return calls.stream().filter(c -> c.status != 200).toList();
  }

  /** 2,000 requests wait for 64 slots, each for 40 ms: 1.3 s, where the objective is 0.5 s. */
  @Test
  void overloadIsRefusedAtOnceButNotWholly() {
    List<Call> calls = send("64,2000,64", 3, 1_300);
    List<Call> refused = refused(calls);
    assertThat(refused.size()).isAtLeast(60);
    assertThat(refused.size()).isAtMost(calls.size() * 9 / 10);
    for (Call call : refused) {
      double seconds = Double.parseDouble(call.headers.get("Retry-After"));
      assertThat(call.status).isEqualTo(503);
      assertThat(seconds).isAtMost(DispatchSimulation.ROUTE_TIMEOUT_MILLIS / 3_000.0);
    }
    assertThat(refused.stream().map(c -> c.headers.get("Retry-After")).distinct().count())
        .isAtLeast(refused.size() / 2);
  }

  @ParameterizedTest
  @ValueSource(strings = {"31,0,64", "64,0,64", "64,100,64", "64,2000", "-1,-1,-1", "0,0,0"})
  void nothingIsRefusedWithoutOverload(String load) {
    assertThat(refused(send(load, 3, 40))).isEmpty();
  }

  /** One upstream with room takes the requests of the others. */
  @Test
  void nothingIsRefusedWhileOneUpstreamHasRoom() {
    assertThat(refused(send("64,2000,64", 2, 1_300))).isEmpty();
  }

  /** A workspace without a priority must not become the most urgent one. */
  @Test
  void priorityOfRouteCountsWhereWorkspaceHasNone() {
    var route = TestRoutes.route("/p/", RequestKind.IDEMPOTENT, 1, 1_000, false, 3);
    assertThat(new Workspace("w", OptionalInt.empty(), ImmutableSet.of()).priorityOn(route))
        .isEqualTo(3);
    assertThat(new Workspace("w", 0).priorityOn(route)).isEqualTo(0);
  }
}
