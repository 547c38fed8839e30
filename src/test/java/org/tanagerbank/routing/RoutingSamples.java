package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.request.ChatKey;

/** Creates values shared by the tests of this package. */
final class RoutingSamples {
  static final Zone ZONE = new Zone("zone-a", "region");

  private RoutingSamples() {}

  static Upstream upstream(int index, double weight) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 1);
    return new Upstream("u" + index, 1, "s", ZONE, address, weight);
  }

  static ServiceSpec spec(int maxInFlight) {
    return new ServiceSpec(
        "s",
        ServiceKind.ENGINE,
        ImmutableList.of("m"),
        ImmutableList.of(),
        1.25,
        new ServiceSpec.Weights(0.5, 0.5),
        30_000,
        0,
        maxInFlight,
        ImmutableMap.of("default", 1),
        new ServiceSpec.Objectives(1200, 51, 0.95),
        ImmutableList.of(),
        false);
  }

  static RouteRequest request(long chat, ImmutableSet<String> excluded) {
    return new RouteRequest("w", new ChatKey(chat), excluded, Optional.empty(), true);
  }
}
