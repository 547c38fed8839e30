package org.tanagerbank.status;

import java.util.Optional;
import org.tanagerbank.events.MetricsPage;

/**
 * What one gateway says of itself. Immutable.
 *
 * @param address where it was asked
 * @param configVersion the version of the configuration in force, 0 for none
 * @param configAgeSeconds how long ago that was known to be the newest
 * @param peers the other gateways that it hears of
 * @param engines the engines that it knows
 * @param inFlight the requests that it handles
 * @param ended requests that were sent to an upstream and ended, since its start
 * @param brokenOff those of them whose caller left or whose answer was cut off
 * @param rejected requests that it answered itself, since its start
 * @param failedAttempts attempts that brought no usable answer, since its start
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
    long failedAttempts) {
  private static final String PREFIX = "tanagerbank_gateway_";
  private static final String BROKEN_OFF = "0";

  /** Returns what a page says, or nothing when it is not a gateway's. */
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
            (long) page.sum(requests, s -> s.hasLabel("status", BROKEN_OFF)),
            (long) page.sum(PREFIX + "rejected_total"),
            (long) page.sum(PREFIX + "failed_attempts_total")));
  }
}
