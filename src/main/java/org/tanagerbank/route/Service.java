package org.tanagerbank.route;

import java.util.Optional;

/**
 * A set of upstreams that serve the same requests. Immutable.
 *
 * @param name the name by which routes and upstreams refer to the service
 * @param maxConnections the number of connections that an upstream accepts from all callers in
 *     total
 * @param engine the capacity of each engine; empty if the upstreams are not engines
 */
public record Service(String name, int maxConnections, Optional<EngineLimits> engine) {}
