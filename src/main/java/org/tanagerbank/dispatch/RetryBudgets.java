package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.routing.RetryBudget;

/**
 * Holds, for each service, the budget of retries that this instance may send. The retries that the
 * fleet may send beyond the retry ratio are divided among its instances. An instance that has
 * restarted gets its share over one window, because it does not know what it sent before. Not
 * thread-safe; confined to the event loop.
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
  private long restartedAtMillis = Long.MIN_VALUE / 2;

  RetryBudgets(DispatchSettings settings) {
    this.settings = settings;
  }

  /** Records a request for a service that was received from a caller. */
  void recordRequest(String service, long nowMillis) {
    budget(service).recordRequest(nowMillis);
  }

  /** Takes one retry from the budget of a service, and returns whether one was left. */
  boolean tryAcquire(String service, long nowMillis) {
    RetryBudget budget = budget(service);
    budget.setFloor(floor(nowMillis));
    return budget.tryAcquire(nowMillis);
  }

  private RetryBudget budget(String service) {
    return byService.computeIfAbsent(
        service, unused -> new RetryBudget(settings.retryRatio(), settings.retryWindowMillis(), 0));
  }

  /** Sets the number of instances that share the retries allowed beyond the ratio. */
  void setFleetSize(int instances) {
    fleetSize = instances;
  }

  /** Records that this instance has just started again after it had served before. */
  void recordRestart(long nowMillis) {
    restartedAtMillis = nowMillis;
  }

  private double floor(long nowMillis) {
    double share = settings.fleetRetryFloor() / Math.max(MIN_FLEET_SIZE, fleetSize);
    double windows =
        (double) (nowMillis - restartedAtMillis) / (double) settings.retryWindowMillis();
    return share * Math.min(1, windows);
  }
}
