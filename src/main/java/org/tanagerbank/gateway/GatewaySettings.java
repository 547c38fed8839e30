package org.tanagerbank.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tanagerbank.dispatch.DispatchSettings;

/**
 * What a gateway is set to. Immutable.
 *
 * @param instanceId the name of the instance
 * @param callerAddress where to serve callers
 * @param peerAddress where to receive digests of other instances
 * @param readyAddress where to answer whether the instance is ready
 * @param metricsAddress where to serve metrics, if anywhere
 * @param firstStart whether the whole system starts for the first time
 * @param revokeMillis the time after which a key that was taken away must not work
 * @param configMillis the time after which a new configuration must be in force
 * @param drainMillis the time after which nothing may be sent to an upstream that leaves
 * @param graceMillis the time that a planned stop may take
 * @param cacheWaitMillis how long requests wait after a restart to learn what engines keep
 * @param dispatch what the dispatcher is set to
 */
public record GatewaySettings(
    String instanceId,
    InetSocketAddress callerAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress readyAddress,
    Optional<InetSocketAddress> metricsAddress,
    boolean firstStart,
    long revokeMillis,
    long configMillis,
    long drainMillis,
    long graceMillis,
    long cacheWaitMillis,
    DispatchSettings dispatch) {}
