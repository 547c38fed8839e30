package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalDouble;

/**
 * The capacity of each engine of a service. Immutable.
 *
 * @param slots the number of requests that an engine runs at the same time
 * @param memoryTokens the memory that running requests and cached prompt parts share, in tokens
 * @param transferMillisPerToken the time to fetch one cached token from another engine, in
 *     milliseconds; empty if engines cannot fetch from each other
 */
public record EngineLimits(int slots, long memoryTokens, OptionalDouble transferMillisPerToken) {
  public EngineLimits {
    checkArgument(slots > 0, "slots must be positive: %s", slots);
    checkArgument(memoryTokens > 0, "memoryTokens must be positive: %s", memoryTokens);
  }
}
