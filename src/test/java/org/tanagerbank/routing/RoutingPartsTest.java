package org.tanagerbank.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.ChatKey;

/**
 * Tests load aggregation and exchange, the retry budget, the chat directory and flap damping.
 *
 * <p>The tests guard against load sums that include expired parts or miss zones, against retries
 * that multiply the load, against outdated directory hints, and against upstreams that are used
 * again at once after each of many restarts.
 */
final class RoutingPartsTest {
  private static final ChatKey CHAT = new ChatKey(5);

  @Test
  void expiredPartsAreNotSummed() {
    LoadAggregator aggregator = new LoadAggregator();
    aggregator.updatePart("a", 6, 2, 0);
    aggregator.updatePart("b", 2, 2, 1_500);
    assertThat(aggregator.sum(1_500).mean().orElseThrow().mean()).isEqualTo(2.0);
    assertThat(aggregator.sum(2_001)).isEqualTo(new LoadAggregator.Sum(2, 2, 2_001));
  }

  @Test
  void decreaseOfLiveCountIsDelayed() {
    LoadExchange exchange = new LoadExchange("e1", "s");
    exchange.setEntries(Map.of("e1", "z1", "e2", "z2"));
    exchange.updatePeerLoad("e2", LoadExchange.Scope.ENTRY, 4, 2, 0);
    exchange.updateOwnLoad(4, 2, 0);
    exchange.updateOwnLoad(2, 1, 10);
    assertThat(exchange.meanEstimate(10).orElseThrow().liveUpstreams()).isEqualTo(4);
    exchange.updateOwnLoad(2, 1, 40);
    assertThat(exchange.meanEstimate(40).orElseThrow().mean()).isEqualTo(2.0);
  }

  @Test
  void aggregatedTotalsIncludeAllZones() {
    TreeMap<String, String> zones = new TreeMap<>();
    TreeMap<String, LoadExchange> entries = new TreeMap<>();
    for (int i = 0; i < 30; i++) {
      zones.put("e" + i, "z" + i % 3);
    }
    zones.keySet().forEach(id -> entries.put(id, new LoadExchange(id, "s")));
    entries.values().forEach(e -> e.setEntries(zones));
    for (long now = 0; now < 2_000; now += 100) {
      for (Map.Entry<String, LoadExchange> e : entries.entrySet()) {
        e.getValue().updateOwnLoad(3, 1, now);
        for (LoadExchange.Message m : e.getValue().pollMessages(now)) {
          for (String to : m.receivers()) {
            entries
                .get(to)
                .updatePeerLoad(e.getKey(), m.scope(), m.inFlight(), m.liveUpstreams(), now);
          }
        }
      }
    }
    entries
        .values()
        .forEach(
            e -> assertThat(e.meanEstimate(2_000).orElseThrow().liveUpstreams()).isEqualTo(30));
  }

  @Test
  void retriesAreLimitedToTenPercentPlusTen() {
    RetryBudget budget = new RetryBudget();
    for (int i = 0; i < 100; i++) {
      budget.recordRequest(1_000);
    }
    int allowed = 0;
    for (int i = 0; i < 100; i++) {
      allowed += budget.tryAcquire(2_000) ? 1 : 0;
    }
    assertThat(allowed).isEqualTo(20);
    assertThat(budget.tryAcquire(13_000)).isTrue();
  }

  @Test
  void directoryReturnsLastUpstreamAndIsBounded() {
    ChatDirectory directory = new ChatDirectory(2, -ChatDirectory.WARM_UP_MILLIS);
    directory.recordSpill(CHAT, "u3");
    assertThat(directory.hint(CHAT, true, 0)).isEqualTo(new ChatDirectory.Hint.MovedTo("u3"));
    directory.recordServedHere(CHAT);
    assertThat(directory.hint(CHAT, true, 0)).isEqualTo(new ChatDirectory.Hint.Here());
    directory.recordServedHere(new ChatKey(6));
    directory.recordServedHere(new ChatKey(7));
    assertThat(directory.hint(CHAT, true, 0)).isEqualTo(new ChatDirectory.Hint.Elsewhere());
    assertThat(directory.hint(CHAT, false, 0)).isEqualTo(new ChatDirectory.Hint.Here());
  }

  @Test
  void thirdReturnIsDelayedAndDelayDoublesUpToFiveMinutes() {
    FlapDamper damper = new FlapDamper();
    assertThat(damper.recordReturn(0)).isEqualTo(0);
    assertThat(damper.recordReturn(1)).isEqualTo(1);
    assertThat(damper.recordReturn(2)).isEqualTo(10_002);
    assertThat(damper.recordReturn(3)).isEqualTo(20_003);
    for (int i = 0; i < 10; i++) {
      damper.recordReturn(4);
    }
    assertThat(damper.recordReturn(5)).isEqualTo(300_005);
  }
}
