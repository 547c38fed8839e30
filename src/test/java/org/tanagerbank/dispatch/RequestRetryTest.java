package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.dispatch.DispatchSimulation.Call;

/** Guards against retries that are taken from the budget and not sent. */
final class RequestRetryTest {
  private static List<Call> send(DispatchSimulation fleet, int requests) {
    return IntStream.range(0, requests)
        .mapToObj(i -> fleet.send(0, "/safe/x", "request " + fleet.nowMillis() + " " + i))
        .toList();
  }

  /** Requests that fail while there is no other upstream must not use up the retries of others. */
  @Test
  void requestsWithoutAnotherUpstreamTakeNoRetries() {
    DispatchSimulation fleet = new DispatchSimulation(1, 2, /* upstreamsKeepIds= */ false);
    fleet.advance(100);
    fleet.upstreams().get(1).crash(fleet.nowMillis());
    fleet.advance(1_000);
    send(fleet, 20);
    fleet.advance(10);
    fleet.upstreams().get(0).crash(fleet.nowMillis());
    fleet.advance(6_000);
    List<Call> calls = send(fleet, 4);
    fleet.advance(10);
    fleet.upstreams().get(0).crash(fleet.nowMillis());
    fleet.advance(1_000);
    assertThat(calls.stream().map(c -> c.status).toList()).containsExactly(200, 200, 200, 200);
  }
}
