package org.tanagerbank.upstream;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The data that the router adds to a request for an upstream. Immutable.
 *
 * @param upstreamId the id of the upstream; any other upstream must reject the request
 * @param timeLeftMillis the time in milliseconds for which the upstream may work on the request
 * @param workspace the name of the workspace of the caller's key, if the request needs a key
 * @param priority the priority among the requests of the upstream; empty for the default
 * @param lastEventId the id of the event after which a stream resumes; empty for a new stream
 * @param cacheSource the address of the engine from which the upstream fetches the prompt parts
 *     that it has not cached, if any
 */
public record UpstreamCall(
    String upstreamId,
    long timeLeftMillis,
    Optional<String> workspace,
    OptionalInt priority,
    Optional<String> lastEventId,
    Optional<InetSocketAddress> cacheSource) {}
