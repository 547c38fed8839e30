package org.tanagerbank.route;

import java.util.Optional;

/**
 * A set of upstreams that serve the same requests. Immutable.
 *
 * @param name the name by which routes and upstreams refer to the service
 * @param maxConnections the number of connections that an upstream accepts from all callers in
 *     total
 * @param engine the capacity of each engine; empty if the upstreams are not engines
 * @param cold what a cold upstream takes; empty if that is not bounded
 */
public record Service(
    String name, int maxConnections, Optional<EngineLimits> engine, Optional<ColdLimits> cold) {

  /** Creates a service whose upstreams take any number of requests while they are cold. */
  public Service(String name, int maxConnections, Optional<EngineLimits> engine) {
    this(name, maxConnections, engine, Optional.empty());
  }
}
