package org.tanagerbank.route;

import java.util.OptionalInt;

/**
 * A workspace whose keys are accepted on routes. Immutable.
 *
 * @param name the name that is sent to upstreams
 * @param priority the priority, which takes precedence over that of a route; 0 is the most urgent;
 *     empty if that of the route counts
 */
public record Workspace(String name, OptionalInt priority) {
  /** Returns a workspace with a priority of its own. */
  public Workspace(String name, int priority) {
    this(name, OptionalInt.of(priority));
  }

  /** Returns the priority of its requests on a route. */
  public int priorityOn(Route route) {
    return priority.orElse(route.priority());
  }
}
