package org.tanagerbank.route;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;

/**
 * Maps a request to a route by its host and the longest matching prefix of its path.
 *
 * <p>The time of a lookup depends on the number of slashes in the path, not on the number of
 * routes. Immutable and thread-safe.
 */
public final class RouteTable {
  /**
   * The routes by host followed by path prefix. The keys are unambiguous, because a host contains
   * no slash and a prefix begins with one.
   */
  private final ImmutableMap<String, Route> routes;

  private RouteTable(ImmutableMap<String, Route> routes) {
    this.routes = routes;
  }

  /**
   * Returns a table of routes; the last of several routes with the same host and prefix is used.
   */
  public static RouteTable of(Collection<Route> routes) {
    return new RouteTable(
        routes.stream()
            .collect(
                toImmutableMap(r -> r.host() + r.pathPrefix(), Function.identity(), (a, b) -> b)));
  }

  /**
   * Returns the route of a request, or empty if no route matches.
   *
   * @param host the value of the host header in any case, with or without a port
   * @param target the request target, which is a path and an optional query
   */
  public Optional<Route> find(String host, String target) {
    String name = hostName(host);
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      Route route = routes.get(name + path.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
      if (slash == 0) {
        break;
      }
    }
    return Optional.empty();
  }

  /** Returns the number of routes. */
  public int size() {
    return routes.size();
  }

  private static String hostName(String host) {
    int colon = host.lastIndexOf(':');
    return Ascii.toLowerCase(colon < 0 ? host : host.substring(0, colon));
  }
}
