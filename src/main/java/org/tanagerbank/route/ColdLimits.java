package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the upstreams of a service take while they are cold. Immutable.
 *
 * @param millis the time in milliseconds for which an upstream is cold after its start; 0 if that
 *     is not known
 * @param requestsPerSecond the requests a second that a cold upstream takes from all instances
 *     together; positive and finite
 */
public record ColdLimits(long millis, double requestsPerSecond) {
  /** Checks the values. */
  public ColdLimits {
    checkArgument(millis >= 0, "the time must not be negative: %s", millis);
    checkArgument(
        requestsPerSecond > 0 && requestsPerSecond < Double.POSITIVE_INFINITY,
        "the rate must be positive and finite: %s",
        requestsPerSecond);
  }
}
