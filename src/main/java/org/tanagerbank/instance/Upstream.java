package org.tanagerbank.instance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/**
 * An instance of an engine or of a plain service, reached through its sidecar.
 *
 * <p>Two incarnations of the same id are different processes that share no state. Immutable and
 * thread-safe.
 *
 * @param id the instance id, unique within the fleet
 * @param incarnation a number that differs for each start of the sidecar
 * @param service the name of the service to which the upstream belongs
 * @param zone the zone in which the upstream runs
 * @param address the address at which its sidecar accepts links
 * @param weight the weight in rendezvous hashing; positive, 1 for an ordinary upstream
 */
public record Upstream(
    String id,
    long incarnation,
    String service,
    Zone zone,
    InetSocketAddress address,
    double weight) {
  public Upstream {
    checkArgument(!id.isEmpty(), "upstream id must not be empty");
    checkNotNull(service);
    checkNotNull(zone);
    checkNotNull(address);
    checkArgument(weight > 0, "weight must be positive: %s", weight);
  }
}
