package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.routing.RetryBudget;

/**
 * Holds, for each service, the budget of retries that this instance may send. The retries that the
 * fleet may send beyond the retry ratio are divided among its instances. Not thread-safe; confined
 * to the event loop.
 */
final class RetryBudgets {
  /**
   * The smallest number of instances to divide by, so that an instance which is not connected to
   * any other does not use the retries of the whole fleet.
   */
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

  /** Sets the number of instances that share the retries allowed beyond the ratio. */
  void setFleetSize(int instances) {
    fleetSize = instances;
    byService.values().forEach(b -> b.setFloor(floor()));
  }

  private double floor() {
    return settings.fleetRetryFloor() / Math.max(MIN_FLEET_SIZE, fleetSize);
  }
}
