package org.tanagerbank.status;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import org.junit.jupiter.api.Test;
import org.tanagerbank.events.MetricsPage;

/**
 * Guards against a status with wrong counts, or one that is read from a page of another process.
 */
final class GatewayStatusTest {
  private static final String PAGE =
      "# HELP tanagerbank_gateway_requests_total Requests.\n"
          + "# TYPE tanagerbank_gateway_requests_total counter\n"
          + "tanagerbank_gateway_requests_total{status=\"200\"} 40.0\n"
          + "tanagerbank_gateway_requests_total{status=\"0\"} 2.0\n"
          + "tanagerbank_gateway_rejected_total{status=\"503\",reason=\"a } b\"} 3.0\n"
          + "tanagerbank_gateway_config_version 12.0\n"
          + "tanagerbank_gateway_config_age_seconds 0.25\n"
          + "tanagerbank_gateway_evacuated_zone_requests_in_flight{zone=\"b\"} 2.0\n"
          + "tanagerbank_gateway_evacuated_zone_requests_in_flight{zone=\"c\"} 0.0\n"
          + "tanagerbank_gateway_peers 3.0\n";

  @Test
  void samplesAreSummedOverTheirLabels() {
    GatewayStatus status = GatewayStatus.of("a", MetricsPage.parse(PAGE)).get();
    assertThat(status)
        .isEqualTo(
            new GatewayStatus(
                "a", 12, 0.25, 3, 0, 0, 42, 2, 3, 0, ImmutableSortedMap.of("b", 2.0, "c", 0.0)));
  }

  /** An operator counts the gateways that obey before work begins in the zone. */
  @Test
  void evacuationsAreSummedOverTheGateways() {
    GatewayStatus both = GatewayStatus.of("a", MetricsPage.parse(PAGE)).get();
    GatewayStatus none =
        GatewayStatus.of("b", MetricsPage.parse("tanagerbank_gateway_config_version 1\n")).get();
    assertThat(ZoneStatus.byZone(ImmutableList.of(both, none, both)))
        .isEqualTo(ImmutableSortedMap.of("b", new ZoneStatus(2, 4), "c", new ZoneStatus(2, 0)));
  }

  @Test
  void pagesOfOtherProcessesGiveNoStatus() {
    assertThat(GatewayStatus.of("a", MetricsPage.parse(""))).isEmpty();
    assertThat(GatewayStatus.of("a", MetricsPage.parse("<html> 1\nx\n{} \n# 5"))).isEmpty();
  }
}
