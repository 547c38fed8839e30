package org.tanagerbank.instance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/**
 * A row of the platform's instance list, which lags behind the actual state of the instances.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id
 * @param kind the role of the instance
 * @param service the name of the service of a sidecar's upstream; empty for an entry
 * @param zone the zone in which the instance runs
 * @param address the address at which it accepts links
 * @param httpAddress the address at which it serves HTTP
 * @param incarnation a number that differs for each start; 0 when the list does not contain it
 * @param state whether the instance is live or leaving
 */
public record InstanceInfo(
    String id,
    InstanceKind kind,
    String service,
    Zone zone,
    InetSocketAddress address,
    InetSocketAddress httpAddress,
    long incarnation,
    InstanceState state) {
  public InstanceInfo {
    checkArgument(!id.isEmpty(), "instance id must not be empty");
    checkNotNull(kind);
    checkNotNull(service);
    checkNotNull(zone);
    checkNotNull(address);
    checkNotNull(httpAddress);
    checkNotNull(state);
  }
}
