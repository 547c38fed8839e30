package org.tanagerbank.rollout;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Draws changes of a configuration: routes are added, removed and moved to another service, keys
 * are added and withdrawn, and the configuration grows by many routes and shrinks again. Not
 * thread-safe.
 */
public final class ConfigChanges {
  /** A route and a key that each version has. */
  public static final String LASTING_ROUTE = "lasting";

  public static final String LASTING_KEY = "lasting-key";

  /** A route that needs no key and moves between services. */
  public static final String PUBLIC_ROUTE = "public-moving";

  private static final String MOVING_ROUTE = "moving";
  private static final int MAX_NUMBER_STEP = 5;
  private static final int BULK_ROUTES = 150;

  private final SplittableRandom random;
  private final ImmutableList<String> services;

  /** Creates changes with random choices from a seed, between at least two services. */
  public ConfigChanges(long seed, ImmutableList<String> services) {
    this.random = new SplittableRandom(seed);
    this.services = services;
  }

  private enum Kind {
    ADD_ROUTE,
    REMOVE_ROUTE,
    MOVE_ROUTE,
    ADD_KEY,
    WITHDRAW_KEY,
    GROW,
    SHRINK
  }

  /** Returns the first version. */
  public ConfigVersion first() {
    return new ConfigVersion(
        1,
        ImmutableMap.of(
            LASTING_ROUTE,
            services.get(0),
            MOVING_ROUTE,
            services.get(0),
            PUBLIC_ROUTE,
            services.get(0)),
        ImmutableSet.of(LASTING_KEY, "first-key"));
  }

  /** Returns the version after another one. */
  public ConfigVersion after(ConfigVersion version) {
    long number = version.number() + 1 + random.nextInt(MAX_NUMBER_STEP);
    ImmutableMap<String, String> routes = version.services();
    ImmutableSet<String> keys = version.keys();
    switch (Kind.values()[random.nextInt(Kind.values().length)]) {
      case ADD_ROUTE -> routes = with(routes, "route-" + number);
      case REMOVE_ROUTE -> routes = without(routes, draw(removable(routes, "route-")));
      case MOVE_ROUTE -> routes = with(with(routes, MOVING_ROUTE), PUBLIC_ROUTE);
      case ADD_KEY -> keys = Sets.union(keys, ImmutableSet.of("key-" + number)).immutableCopy();
      case WITHDRAW_KEY ->
          keys =
              Sets.difference(
                      keys,
                      draw(removable(keys))
                          .<ImmutableSet<String>>map(ImmutableSet::of)
                          .orElse(ImmutableSet.of()))
                  .immutableCopy();
      case GROW -> {
        for (int i = 0; i < BULK_ROUTES; i++) {
          routes = with(routes, "bulk-" + i);
        }
      }
      case SHRINK ->
          routes = ImmutableMap.copyOf(Maps.filterKeys(routes, r -> !r.startsWith("bulk-")));
      default -> throw new IllegalStateException("unknown kind of change");
    }
    return new ConfigVersion(number, routes, keys);
  }

  private ImmutableMap<String, String> with(ImmutableMap<String, String> routes, String route) {
    return ImmutableMap.<String, String>builder()
        .putAll(routes)
        .put(route, services.get(random.nextInt(services.size())))
        .buildKeepingLast();
  }

  private static ImmutableMap<String, String> without(
      ImmutableMap<String, String> routes, Optional<String> route) {
    return ImmutableMap.copyOf(Maps.filterKeys(routes, r -> !Optional.of(r).equals(route)));
  }

  private static ImmutableList<String> removable(
      ImmutableMap<String, String> routes, String prefix) {
    return routes.keySet().stream().filter(r -> r.startsWith(prefix)).collect(toImmutableList());
  }

  private static ImmutableList<String> removable(ImmutableSet<String> keys) {
    return keys.stream().filter(k -> !k.equals(LASTING_KEY)).collect(toImmutableList());
  }

  private Optional<String> draw(ImmutableList<String> names) {
    return names.isEmpty()
        ? Optional.empty()
        : Optional.of(names.get(random.nextInt(names.size())));
  }
}
