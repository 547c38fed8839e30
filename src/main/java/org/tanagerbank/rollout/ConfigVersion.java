package org.tanagerbank.rollout;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * What one version of a configuration allows. Immutable.
 *
 * @param number the number of the version, which increases with each version
 * @param services the service of each route, by the first segment of its paths
 * @param keys the keys that callers may use
 */
public record ConfigVersion(
    long number, ImmutableMap<String, String> services, ImmutableSet<String> keys) {
  private static final String PUBLIC_PREFIX = "public-";

  /** Returns whether requests for a route need no key. */
  public static boolean isPublic(String route) {
    return route.startsWith(PUBLIC_PREFIX);
  }

  /** Returns whether this version explains what became of a probe. */
  boolean explains(ConfigProbe probe) {
    String service = services.get(probe.route());
    boolean hasKey = isPublic(probe.route()) || keys.contains(probe.key());
    return switch (probe.outcome()) {
      case SERVED -> hasKey && probe.service().equals(service);
      case NO_ROUTE -> service == null;
      case NO_KEY -> !hasKey;
      case UNDECIDED -> true;
    };
  }
}
