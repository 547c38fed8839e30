package org.tanagerbank.direct;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the router adds to a request that it sends to an upstream. Immutable.
 *
 * @param upstreamId the upstream that the request is meant for; another one must reject it
 * @param timeLeftMillis how long the upstream may work on it
 * @param workspace the workspace of the caller's key
 * @param priority the urgency among the requests of the upstream; absent for the default
 * @param lastEventId the event after which a stream goes on
 * @param cacheSource the engine from which the upstream fetches what it lacks of the prompt
 */
public record UpstreamCall(
    String upstreamId,
    long timeLeftMillis,
    Optional<String> workspace,
    OptionalInt priority,
    Optional<String> lastEventId,
    Optional<InetSocketAddress> cacheSource) {}
