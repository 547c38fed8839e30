package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The size of each engine of a service. Immutable.
 *
 * @param slots how many requests run at once
 * @param memoryTokens the tokens that running requests and cached prompt parts share
 */
public record EngineLimits(int slots, long memoryTokens) {
  public EngineLimits {
    checkArgument(slots > 0, "slots must be positive: %s", slots);
    checkArgument(memoryTokens > 0, "memory must be positive: %s", memoryTokens);
  }
}
