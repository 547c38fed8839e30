package org.tanagerbank.route;

/**
 * A workspace whose keys are accepted on routes. Immutable.
 *
 * @param name the name that is sent to upstreams
 * @param priority the priority, which takes precedence over that of a route; 0 is the most urgent
 */
public record Workspace(String name, int priority) {}
