package org.tanagerbank.sidecar;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import org.tanagerbank.machine.Zone;

/**
 * The settings of a sidecar.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id, which is also the id of the upstream
 * @param incarnation a number that differs for each start
 * @param service the service of the upstream
 * @param zone where the sidecar runs
 * @param linkAddress where it accepts links; port 0 picks a free port
 * @param httpAddress where it serves metrics and health; port 0 picks a free port
 * @param upstream where the upstream serves HTTP
 * @param log where the platform's log is
 * @param instances where the platform's instance list is
 * @param drainLimitMillis the longest time a planned stop waits; 0 takes the declaration's limit
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
    checkArgument(drainLimitMillis >= 0, "drain limit must not be negative: %s", drainLimitMillis);
  }
}
