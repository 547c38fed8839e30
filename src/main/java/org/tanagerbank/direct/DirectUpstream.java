package org.tanagerbank.direct;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;

/**
 * One upstream that is called directly, as it says of itself. Immutable.
 *
 * @param id the id by which it is addressed
 * @param service the service that it belongs to
 * @param address where it serves requests
 * @param zone its availability zone
 * @param slots how many requests it works on at once
 * @param isDraining whether it is leaving and takes no new work
 * @param coldMillis how much longer it is slow after its start
 * @param startedAtMillis when it started, by its own clock; differs for each start
 * @param reportNumber rises with each report of one start
 */
public record DirectUpstream(
    String id,
    String service,
    InetSocketAddress address,
    String zone,
    int slots,
    boolean isDraining,
    long coldMillis,
    long startedAtMillis,
    long reportNumber) {
  public DirectUpstream {
    checkArgument(!id.isEmpty(), "upstream id must not be empty");
    checkArgument(slots > 0, "slots must be positive: %s", slots);
  }

  /** Returns whether this was said before another value of the same id. */
  public boolean isOlderThan(DirectUpstream other) {
    return startedAtMillis < other.startedAtMillis
        || (startedAtMillis == other.startedAtMillis && reportNumber < other.reportNumber);
  }

  /** Returns whether this is the same process as another value of the same id. */
  public boolean isSameProcess(DirectUpstream other) {
    return startedAtMillis == other.startedAtMillis && address.equals(other.address);
  }
}
