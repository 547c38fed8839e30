package org.tanagerbank.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import org.tanagerbank.dispatch.UpstreamTraffic.Arrival;

/**
 * Finds the requests with a part that ends upstreams which reach upstreams although enough of them
 * have ended, from what upstreams saw. Stateless and thread-safe.
 */
final class PartRule {
  /** The number of late requests that the platform tolerates. */
  static final int MAX_LATE = 3;

  /** The time that gateways have to learn what they missed. */
  static final long STABLE_MILLIS = 3_000;

  private static final int CRASHES = 5;

  private PartRule() {}

  /** Returns the times at which upstreams ended under runs with a part, the earliest first. */
  static List<Long> crashTimes(DispatchSimulation fleet, long part) {
    return fleet.upstreams().stream()
        .flatMap(u -> u.traffic().crashes().stream())
        .filter(c -> c.parts().contains(part))
        .map(UpstreamTraffic.Crash::atMillis)
        .sorted()
        .toList();
  }

  /** Returns the number of upstreams that ended under runs with a part. */
  static long crashes(DispatchSimulation fleet, long part) {
    return crashTimes(fleet, part).size();
  }

  /** Returns the time of the fifth end of an upstream, or of the last if there are fewer. */
  static OptionalLong decisiveCrashMillis(DispatchSimulation fleet, long part) {
    return crashTimes(fleet, part).stream().limit(CRASHES).mapToLong(Long::longValue).max();
  }

  /** Returns the requests with a part that arrived late, from gateways in touch. */
  static List<Arrival> lateArrivals(DispatchSimulation fleet, long part) {
    if (crashes(fleet, part) < CRASHES) {
      return List.of();
    }
    long lateFrom = decisiveCrashMillis(fleet, part).getAsLong() + STABLE_MILLIS;
    return fleet.upstreams().stream()
        .flatMap(u -> u.traffic().arrivals().stream())
        .filter(a -> a.parts().contains(part) && a.atMillis() > lateFrom && a.isFromInTouch())
        .sorted(Comparator.comparingLong(Arrival::atMillis))
        .toList();
  }

  /** Returns the time from which sound requests beside those with a part must be served. */
  static long soundFromMillis(DispatchSimulation fleet, long part) {
    return decisiveCrashMillis(fleet, part).orElseThrow() + 2 * STABLE_MILLIS;
  }
}
