package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against retries that are taken from the budget and not sent, and against requests that are
 * sent more often than their route or the budget allows.
 */
final class RequestRetryTest {
  /** As {@link DispatchSimulation} sets them. */
  private static final long ATTEMPTS = 2;

  private static final double RETRY_RATIO = 0.2;
  private static final double FLEET_RETRIES = 50;

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

  /** Connect failures between two sends must not allow a further one, nor one without budget. */
  @Test
  void requestsAreSentNoMoreOftenThanTheirRouteAndTheBudgetAllow() {
    for (long seed = 0; seed < 5; seed++) {
      DispatchSimulation fleet = new DispatchSimulation(1, 5, /* upstreamsKeepIds= */ false);
      SplittableRandom random = new SplittableRandom(seed);
      for (int i = 0; i < 400; i++) {
        send(fleet, 1 + random.nextInt(3));
        if (random.nextInt(10) == 0) {
          fleet.upstreams().get(random.nextInt(5)).crash(fleet.nowMillis());
        }
        fleet.advance(20);
      }
      Map<String, Long> runs =
          fleet.runs.stream().collect(groupingBy(SimulatedUpstream.Run::requestId, counting()));
      assertThat(runs.values().stream().max(Long::compare).get()).isEqualTo(ATTEMPTS);
      long retries = runs.values().stream().mapToLong(r -> r - 1).sum();
      // All of it happens in 8 s, less than a window.
      assertThat((double) retries).isAtMost(RETRY_RATIO * fleet.calls().size() + FLEET_RETRIES);
    }
  }
}
