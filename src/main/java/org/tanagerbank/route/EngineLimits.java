package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalDouble;

/**
 * The size of each engine of a service. Immutable.
 *
 * @param slots how many requests run at once
 * @param memoryTokens the tokens that running requests and cached prompt parts share
 * @param transferMillisPerToken how long it takes to fetch a cached token from another engine;
 *     absent when engines fetch nothing from each other
 */
public record EngineLimits(int slots, long memoryTokens, OptionalDouble transferMillisPerToken) {
  public EngineLimits {
    checkArgument(slots > 0, "slots must be positive: %s", slots);
    checkArgument(memoryTokens > 0, "memory must be positive: %s", memoryTokens);
  }
}
