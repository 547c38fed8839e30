package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A service that receives a share of a route's requests. Immutable.
 *
 * @param service the name of the service; not empty
 * @param weight the share of the service relative to the sum of the route's weights; not negative
 */
public record WeightedService(String service, double weight) {
  public WeightedService {
    checkArgument(!service.isEmpty(), "service must not be empty");
    checkArgument(weight >= 0, "weight must not be negative: %s", weight);
  }
}
