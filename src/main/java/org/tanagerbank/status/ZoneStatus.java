package org.tanagerbank.status;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Collection;
import java.util.Map;

/**
 * The evacuation of a zone over all gateways. Immutable.
 *
 * @param gateways the number of gateways that obey the order
 * @param inFlight the number of requests that are still in flight in the zone from these gateways
 */
record ZoneStatus(int gateways, long inFlight) {
  /** Returns the evacuated zones by name. */
  static ImmutableSortedMap<String, ZoneStatus> byZone(Collection<GatewayStatus> gateways) {
    return gateways.stream()
        .flatMap(g -> g.evacuatedZones().entrySet().stream())
        .collect(
            ImmutableSortedMap.toImmutableSortedMap(
                String::compareTo,
                Map.Entry::getKey,
                e -> new ZoneStatus(1, e.getValue().longValue()),
                ZoneStatus::plus));
  }

  private ZoneStatus plus(ZoneStatus other) {
    return new ZoneStatus(gateways + other.gateways, inFlight + other.inFlight);
  }
}
