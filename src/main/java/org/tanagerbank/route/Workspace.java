package org.tanagerbank.route;

/**
 * A workspace whose keys may call routes. Immutable.
 *
 * @param name the name that upstreams see
 * @param priority precedes the priority of a route; 0 is the most urgent
 */
public record Workspace(String name, int priority) {}
