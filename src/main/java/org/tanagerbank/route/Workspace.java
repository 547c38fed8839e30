package org.tanagerbank.route;

import com.google.common.collect.ImmutableSet;

/**
 * A workspace whose keys are accepted on routes. Immutable.
 *
 * @param name the name that is sent to upstreams
 * @param priority the priority, which takes precedence over that of a route; 0 is the most urgent
 * @param homeRegions the regions to which its requests are confined; empty if to none
 */
public record Workspace(String name, int priority, ImmutableSet<String> homeRegions) {
  /** Returns a workspace without home regions. */
  public Workspace(String name, int priority) {
    this(name, priority, ImmutableSet.of());
  }
}
