package org.tanagerbank.route;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;

/**
 * Finds the route of a request by its host and the longest prefix of its path.
 *
 * <p>Immutable and thread-safe. A lookup takes time by the number of slashes of the path, not by
 * the number of routes.
 */
public final class RouteTable {
  /** By host and prefix; a host holds no slash and a prefix begins with one. */
  private final ImmutableMap<String, Route> routes;

  private RouteTable(ImmutableMap<String, Route> routes) {
    this.routes = routes;
  }

  /** Returns a table of routes; of two with the same host and prefix, the later one counts. */
  public static RouteTable of(Collection<Route> routes) {
    return new RouteTable(
        routes.stream()
            .collect(
                toImmutableMap(r -> r.host() + r.pathPrefix(), Function.identity(), (a, b) -> b)));
  }

  /**
   * Returns the route of a request.
   *
   * @param host the value of the host header, with or without a port
   * @param target the request target: a path, and a query if any
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
