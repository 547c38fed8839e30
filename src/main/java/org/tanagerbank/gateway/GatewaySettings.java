package org.tanagerbank.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.dispatch.DispatchSettings;

/**
 * The settings of a gateway. Immutable. All times are in milliseconds.
 *
 * @param instanceId the name of the instance
 * @param callerAddress the address on which callers are served
 * @param peerAddress the address on which digests of other instances are received
 * @param readinessAddress the address on which readiness checks are answered
 * @param metricsAddress the address on which metrics are served, or empty to serve none
 * @param isFirstStart whether the whole system starts for the first time, so that engines have
 *     nothing cached
 * @param keyRevocationMillis the time after which a revoked key must not work
 * @param configAdoptionMillis the time after which a new configuration must be in force
 * @param evacuationMillis the time after which nothing may be sent to an evacuated zone, if bounded
 * @param upstreamDrainMillis the time after which no request may be sent to an upstream that leaves
 * @param upstreamReportMillis the time between two reports of an upstream; 0 if it is not known
 * @param graceMillis the longest time that a planned stop may take
 * @param cacheWaitMillis the longest time that requests wait after a restart for the cache state of
 *     engines
 * @param dispatch the settings of the dispatcher
 */
public record GatewaySettings(
    String instanceId,
    InetSocketAddress callerAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress readinessAddress,
    Optional<InetSocketAddress> metricsAddress,
    boolean isFirstStart,
    long keyRevocationMillis,
    long configAdoptionMillis,
    OptionalLong evacuationMillis,
    long upstreamDrainMillis,
    long upstreamReportMillis,
    long graceMillis,
    long cacheWaitMillis,
    DispatchSettings dispatch) {
  /** Returns the time after which what the operator writes must be obeyed. */
  long operatorTopicMillis() {
    return Math.min(configAdoptionMillis, evacuationMillis.orElse(configAdoptionMillis));
  }
}
