package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.RouteTable;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.route.TestRoutes;
import org.tanagerbank.route.Workspace;

/** The configuration of simulated gateways: one route of each kind. Stateless and thread-safe. */
final class SimulationRoutes {
  /** The zones that are in a region; upstreams are in another zone unless they are moved. */
  static final ImmutableMap<String, String> REGIONS_BY_ZONE =
      ImmutableMap.of("a", "r1", "b", "r2", "c", "r3");

  private SimulationRoutes() {}

  /** Returns the settings of a gateway, which sheds load. */
  static DispatchSettings settings(String instanceId) {
    return new DispatchSettings(
        instanceId,
        "z",
        2,
        0.2,
        10_000,
        50,
        5_000,
        REGIONS_BY_ZONE,
        ColdTolerance.NONE,
        /* shedsLoad= */ true);
  }

  /** Returns a newer configuration that bounds what cold upstreams get. */
  static RoutingConfig withCold(ColdLimits limits) {
    return config(2, DispatchSimulation.ROUTE_TIMEOUT_MILLIS, Optional.of(limits));
  }

  /** Returns a configuration whose routes have the given timeout in milliseconds. */
  static RoutingConfig config(long timeoutMillis) {
    return config(1, timeoutMillis, Optional.empty());
  }

  /** Returns a version of the configuration in which cold upstreams take so many requests. */
  static RoutingConfig config(long version, long timeoutMillis, Optional<ColdLimits> cold) {
    return new RoutingConfig(
        version,
        RouteTable.of(
            ImmutableList.of(
                route("/safe/", RequestKind.IDEMPOTENT, timeoutMillis),
                route("/once/", RequestKind.NON_IDEMPOTENT, timeoutMillis),
                route("/stream/", RequestKind.STREAM, timeoutMillis),
                TestRoutes.route(
                    "/resume/", RequestKind.STREAM, 3, timeoutMillis, /* resumable= */ true))),
        ImmutableMap.of("s", new Service("s", 1_000, Optional.empty(), cold)),
        ImmutableMap.of("key", new Workspace("w", 0)),
        true,
        CallerLimits.INITIAL);
  }

  private static Route route(String prefix, RequestKind kind, long timeoutMillis) {
    return TestRoutes.route(prefix, kind, 2, timeoutMillis, /* resumable= */ false);
  }
}
