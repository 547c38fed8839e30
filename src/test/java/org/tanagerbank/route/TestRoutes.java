package org.tanagerbank.route;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** Makes routes of host {@code h} to service {@code s}, and configurations, for tests. */
public final class TestRoutes {
  private static final int OBJECTIVE_MILLIS = 500;

  private TestRoutes() {}

  /** Returns a route that is named after its path prefix. */
  public static Route route(
      String prefix, RequestKind kind, int attempts, long timeoutMillis, boolean resumable) {
    return route(prefix, kind, attempts, timeoutMillis, resumable, /* priority= */ 0);
  }

  /** Returns a configuration that requires keys and has neither routes nor services. */
  public static RoutingConfig emptyConfig(long version) {
    return new RoutingConfig(
        version,
        RouteTable.of(ImmutableList.of()),
        ImmutableMap.of(),
        ImmutableMap.of(),
        true,
        CallerLimits.INITIAL);
  }

  /** Returns a route with a priority. */
  public static Route route(
      String prefix,
      RequestKind kind,
      int attempts,
      long timeoutMillis,
      boolean resumable,
      int priority) {
    return new Route(
        prefix,
        "h",
        prefix,
        kind,
        timeoutMillis,
        OBJECTIVE_MILLIS,
        attempts,
        priority,
        false,
        resumable,
        ImmutableList.of(new WeightedService("s", 1)));
  }
}
