package org.tanagerbank.route;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * One version of the routes, services, keys and limits in force. Immutable and thread-safe.
 *
 * @param version rises with each change
 * @param routes the routes
 * @param services the services by name
 * @param keys the workspace that holds each key
 * @param requiresKeys whether requests of routes that are not public need a key
 * @param limits what callers may send
 */
public record RoutingConfig(
    long version,
    RouteTable routes,
    ImmutableMap<String, Service> services,
    ImmutableMap<String, Workspace> keys,
    boolean requiresKeys,
    CallerLimits limits) {

  /** Returns the workspace that holds a key. */
  public Optional<Workspace> workspace(String key) {
    return Optional.ofNullable(keys.get(key));
  }
}
