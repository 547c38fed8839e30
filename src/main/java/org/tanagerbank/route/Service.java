package org.tanagerbank.route;

import java.util.Optional;

/**
 * A set of upstreams that serve the same requests. Immutable.
 *
 * @param name the name that routes and upstreams use
 * @param maxConnections the connections that an upstream accepts from all callers together
 * @param engine the size of each engine, when the upstreams are engines
 */
public record Service(String name, int maxConnections, Optional<EngineLimits> engine) {}
