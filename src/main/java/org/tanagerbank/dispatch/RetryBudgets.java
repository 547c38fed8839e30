package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.routing.RetryBudget;

/**
 * This instance's share of the retries that the fleet may send to each service. Confined to the
 * event loop.
 */
final class RetryBudgets {
  /** An instance that hears of no others must not take the whole fleet's retries. */
  private static final int MIN_FLEET_SIZE = 4;

  private final DispatchSettings settings;
  private final Map<String, RetryBudget> byService = new HashMap<>();
  private int fleetSize = 1;

  RetryBudgets(DispatchSettings settings) {
    this.settings = settings;
  }

  RetryBudget budget(String service) {
    return byService.computeIfAbsent(
        service,
        unused -> new RetryBudget(settings.retryRatio(), settings.retryWindowMillis(), floor()));
  }

  /** Notes how many instances share what is allowed beyond the ratio. */
  void setFleetSize(int instances) {
    fleetSize = instances;
    byService.values().forEach(b -> b.setFloor(floor()));
  }

  private double floor() {
    return settings.fleetRetryFloor() / Math.max(MIN_FLEET_SIZE, fleetSize);
  }
}
