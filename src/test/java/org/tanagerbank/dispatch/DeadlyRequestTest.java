package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a request that ends each upstream that begins it and is sent to upstreams again
 * and again, because it comes back under other ids and at other gateways.
 */
final class DeadlyRequestTest {
  private static final int GATEWAYS = 4;
  private static final int UPSTREAMS = 6;

  /** Retries that are sent sooner than this after the third crash do not count. */
  private static final long STABLE_MILLIS = 3_000;

  /** The number of retries after the third crash that the platform tolerates. */
  private static final int MAX_LATE_RETRIES = 3;

  private static long lateRetries(DispatchSimulation fleet) {
    var deadly = fleet.deadlyRuns();
    if (deadly.size() <= 3) {
      return 0;
    }
    long thirdAtMillis = deadly.get(2).atMillis();
    return deadly.stream().filter(r -> r.atMillis() > thirdAtMillis + STABLE_MILLIS).count();
  }

  @Test
  void requestThatCrashedThreeUpstreamsIsNotSentAgainUnderOtherIdsAndAtOtherGateways() {
    DispatchSimulation fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, true);
    for (int i = 0; i < 60; i++) {
      fleet.send(i % GATEWAYS, "/once/x", "deadly");
      for (int neighbour = 0; neighbour < 10; neighbour++) {
        fleet.send(neighbour % GATEWAYS, "/safe/n", "innocent " + i + " " + neighbour);
        fleet.advance(100);
      }
    }
    assertThat(lateRetries(fleet)).isAtMost(MAX_LATE_RETRIES);
  }
}
