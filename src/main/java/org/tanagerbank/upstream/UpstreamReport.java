package org.tanagerbank.upstream;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;

/**
 * A report of an upstream about itself. Requests are sent directly to the reported address.
 * Immutable.
 *
 * @param id the id of the upstream; not empty
 * @param service the name of the service that it belongs to
 * @param softwareVersion the version of its software; empty if it reports none. Upstreams of
 *     several versions may serve side by side, and the versions have no order
 * @param address the address on which it serves requests
 * @param zone its availability zone
 * @param slots the number of requests that it processes at the same time
 * @param isDraining whether it is shutting down and accepts no new requests
 * @param warmupLeftMillis the remaining time in milliseconds for which it is slow after its start
 * @param startedAtMillis the time of its start in milliseconds by its own clock; differs between
 *     starts
 * @param reportNumber the number of this report, which increases with each report after a start
 */
public record UpstreamReport(
    String id,
    String service,
    String softwareVersion,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean isDraining,
    long warmupLeftMillis,
    long startedAtMillis,
    long reportNumber) {
  public UpstreamReport {
    checkArgument(!id.isEmpty(), "upstream id must not be empty");
    checkArgument(slots > 0, "slots must be positive: %s", slots);
  }

  /** Returns whether this report is older than another report of the same upstream. */
  public boolean isOlderThan(UpstreamReport other) {
    return startedAtMillis < other.startedAtMillis
        || (startedAtMillis == other.startedAtMillis && reportNumber < other.reportNumber);
  }

  /** Returns whether this report is from the same process as another report with the same id. */
  public boolean isSameProcess(UpstreamReport other) {
    return startedAtMillis == other.startedAtMillis && address.equals(other.address);
  }
}
