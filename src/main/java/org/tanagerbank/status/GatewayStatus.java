package org.tanagerbank.status;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
import org.tanagerbank.events.MetricsPage;

/**
 * The status of one gateway, as read from its metrics. Immutable.
 *
 * @param address the metrics address of the gateway
 * @param configVersion the version of the configuration in force, or 0 if there is none
 * @param configAgeSeconds the time since that version was last confirmed to be the newest
 * @param peers the number of other gateways that it receives digests from
 * @param engines the number of engines that it knows
 * @param inFlight the number of requests in flight
 * @param ended the number of requests that were sent to an upstream and ended, since its start
 * @param brokenOff the number of ended requests whose caller disconnected or whose answer was cut
 *     off
 * @param rejected the number of requests that it answered without an upstream, since its start
 * @param failedAttempts the number of attempts without a usable answer, since its start
 * @param evacuatedZones the number of requests in flight in each zone that it knows as evacuated
 */
record GatewayStatus(
    String address,
    long configVersion,
    double configAgeSeconds,
    long peers,
    long engines,
    long inFlight,
    long ended,
    long brokenOff,
    long rejected,
    long failedAttempts,
    ImmutableSortedMap<String, Double> evacuatedZones) {
  private static final String PREFIX = "tanagerbank_gateway_";

  /** The label value of requests that ended without a complete response. */
  private static final String STATUS_ABORTED = "0";

  /** Returns the status in a metrics page, or empty if the page is not from a gateway. */
  static Optional<GatewayStatus> of(String address, MetricsPage page) {
    if (!page.has(PREFIX + "config_version")) {
      return Optional.empty();
    }
    String requests = PREFIX + "requests_total";
    return Optional.of(
        new GatewayStatus(
            address,
            (long) page.sum(PREFIX + "config_version"),
            page.sum(PREFIX + "config_age_seconds"),
            (long) page.sum(PREFIX + "peers"),
            (long) page.sum(PREFIX + "engines"),
            (long) page.sum(PREFIX + "requests_in_flight"),
            (long) page.sum(requests),
            (long) page.sum(requests, s -> s.hasLabel("status", STATUS_ABORTED)),
            (long) page.sum(PREFIX + "rejected_total"),
            (long) page.sum(PREFIX + "failed_attempts_total"),
            page.byLabel(PREFIX + "evacuated_zone_requests_in_flight", "zone")));
  }
}
