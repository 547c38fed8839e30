package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A service that takes a share of a route's requests. Immutable.
 *
 * @param service the name of the service
 * @param weight its share, relative to the sum of the weights of the route
 */
public record WeightedService(String service, double weight) {
  public WeightedService {
    checkArgument(!service.isEmpty(), "service must not be empty");
    checkArgument(weight >= 0, "weight must not be negative: %s", weight);
  }
}
