package org.tanagerbank.route;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * One version of the routes, services, keys and limits. Immutable and thread-safe.
 *
 * @param version the version number, which increases with each change
 * @param routes the routes by host and path prefix
 * @param services the services by name
 * @param keys the workspaces by key
 * @param requiresKeys whether requests on routes that are not public need a key
 * @param limits the limits on callers' requests and connections
 */
public record RoutingConfig(
    long version,
    RouteTable routes,
    ImmutableMap<String, Service> services,
    ImmutableMap<String, Workspace> keys,
    boolean requiresKeys,
    CallerLimits limits) {

  /** Returns the workspace to which a key belongs, or empty for an unknown key. */
  public Optional<Workspace> workspace(String key) {
    return Optional.ofNullable(keys.get(key));
  }
}
