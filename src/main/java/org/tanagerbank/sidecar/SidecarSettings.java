package org.tanagerbank.sidecar;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import org.tanagerbank.instance.Zone;

/**
 * Settings that a sidecar is started with.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id, which is also the id of the upstream
 * @param incarnation a number that is different for each start of the sidecar
 * @param service the name of the service that the upstream belongs to
 * @param zone the availability zone that the sidecar runs in
 * @param linkAddress the address on which the sidecar accepts links; port 0 picks a free port
 * @param httpAddress the address on which the sidecar serves metrics, health and status; port 0
 *     picks a free port
 * @param upstream the address on which the upstream serves HTTP
 * @param log the address of the platform's log
 * @param instances the address of the platform's instance list
 * @param drainLimitMillis the longest time in milliseconds that a planned stop waits; 0 uses the
 *     limit of the service's declaration
 */
public record SidecarSettings(
    String id,
    long incarnation,
    String service,
    Zone zone,
    InetSocketAddress linkAddress,
    InetSocketAddress httpAddress,
    InetSocketAddress upstream,
    InetSocketAddress log,
    InetSocketAddress instances,
    long drainLimitMillis) {
  public SidecarSettings {
    checkArgument(!id.isEmpty(), "id must not be empty");
    checkArgument(!service.isEmpty(), "service must not be empty");
    checkArgument(
        drainLimitMillis >= 0, "drainLimitMillis must not be negative: %s", drainLimitMillis);
  }
}
