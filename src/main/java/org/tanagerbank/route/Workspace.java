package org.tanagerbank.route;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;

/**
 * A workspace whose keys are accepted on routes. Immutable.
 *
 * @param name the name that is sent to upstreams
 * @param priority the priority, which takes precedence over that of a route; 0 is the most urgent;
 *     empty if that of the route counts
 * @param homeRegions the regions to which its requests are confined; empty if to none
 */
public record Workspace(String name, OptionalInt priority, ImmutableSet<String> homeRegions) {
  /** Returns a workspace with a priority of its own and without home regions. */
  public Workspace(String name, int priority) {
    this(name, OptionalInt.of(priority), ImmutableSet.of());
  }

  /** Returns the priority of its requests on a route. */
  public int priorityOn(Route route) {
    return priority.orElse(route.priority());
  }
}
