package org.tanagerbank.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * The settings that the platform passes to a process at its start. Immutable.
 *
 * @param instanceId the name of the instance
 * @param ip the IP number of the instance
 * @param zone the availability zone of the instance
 * @param firstPeerPort the first port of the range for traffic between instances
 * @param lastPeerPort the last port of that range, inclusive
 * @param callerAddress the address on which the instance accepts callers
 * @param readyAddress the address on which the instance answers readiness probes
 * @param storeAddress the address of the platform's metadata store
 * @param firstStart whether the whole system starts for the first time
 * @param upstreamReportMillis the time in milliseconds between two reports of an upstream; 0 if the
 *     platform does not name it
 * @param bounds the limits that the platform sets
 * @param regionsByZone the region of each zone that the platform names
 * @param shedsLoad whether requests are refused while a service has too little room
 */
public record NodeSettings(
    String instanceId,
    String ip,
    String zone,
    int firstPeerPort,
    int lastPeerPort,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    InetSocketAddress storeAddress,
    boolean firstStart,
    long upstreamReportMillis,
    Limits bounds,
    ImmutableMap<String, String> regionsByZone,
    boolean shedsLoad) {

  /**
   * The limits that the platform sets for all instances. Immutable.
   *
   * @param drainMillis the time in milliseconds from the announcement of a leaving upstream until
   *     nothing may be sent to it any more
   * @param configMillis the time in milliseconds within which a new configuration must be in force
   * @param revokeMillis the time in milliseconds after which a revoked key must be rejected by all
   *     instances
   * @param graceMillis the time in milliseconds between a request to stop and the end of the
   *     process
   * @param stableMillis the time in milliseconds without a disturbance after which the platform
   *     counts as stable
   * @param retryRatio the ratio of retries to requests that is allowed in a window
   * @param retryWindowMillis the length of that window in milliseconds
   * @param retrySlack the number of retries allowed beyond that ratio, over all instances
   * @param loadMultiple the maximum load of an upstream, as a multiple of the mean load of its
   *     service
   * @param evacuationMillis the time in milliseconds after which nothing may be sent to an
   *     evacuated zone, if bounded
   * @param coldOver the multiple of the rate of a cold upstream that it may get in a second
   * @param coldSlack the number of requests that a cold upstream may get in a second beyond that
   */
  public record Limits(
      long drainMillis,
      long configMillis,
      long revokeMillis,
      long graceMillis,
      long stableMillis,
      double retryRatio,
      long retryWindowMillis,
      double retrySlack,
      double loadMultiple,
      OptionalLong evacuationMillis,
      double coldOver,
      double coldSlack) {}

  /**
   * The result of reading a settings file.
   *
   * @param settings the settings, or null when the file has faults
   * @param faults one message per fault, empty when the settings are valid
   */
  public record ParseResult(NodeSettings settings, ImmutableList<String> faults) {}
}
