package org.tanagerbank.machine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/**
 * One row of the platform's instance list, which lags behind the truth.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id
 * @param kind the role of the instance
 * @param service the service behind a sidecar; empty for an entry
 * @param zone where it runs
 * @param address where it accepts links
 * @param httpAddress where it serves HTTP
 * @param incarnation a number that differs for each start; 0 when the list does not know it
 * @param state whether it is live or leaving
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
