package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.routing.SharedRetryBudget;
import org.tanagerbank.routing.SharedRetryBudget.Permit;

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

  /** The longest time to open a connection, the timeout of the connector, in milliseconds. */
  private static final long CONNECT_MILLIS = 1_000;

  /**
   * The longest time in milliseconds that a message is on its way between a caller, this instance
   * and an upstream. A packet that is lost once is sent again within 200 ms.
   */
  private static final long NETWORK_MILLIS = 250;

  private final DispatchSettings settings;
  private final Map<String, SharedRetryBudget> byService = new HashMap<>();
  private int fleetSize = 1;
  private long restartedAtMillis = Long.MIN_VALUE / 2;

  RetryBudgets(DispatchSettings settings) {
    this.settings = settings;
  }

  /** Records a request for a service that was received from a caller. */
  void recordRequest(String service, long nowMillis) {
    budget(service).recordRequest(nowMillis);
  }

  /** Takes one retry from the budget of a service, or returns empty if none is left. */
  Optional<Permit> tryAcquire(String service, long nowMillis) {
    return budget(service).tryAcquire(nowMillis, floor(nowMillis));
  }

  /** Records that a retry is sent, or returns false if it may no longer be. */
  boolean recordSent(String service, Permit permit, long nowMillis) {
    return budget(service).recordSent(permit, nowMillis);
  }

  /** Returns a retry that was not sent to the budget. */
  void release(String service, Permit permit) {
    budget(service).release(permit);
  }

  private SharedRetryBudget budget(String service) {
    return byService.computeIfAbsent(
        service,
        unused ->
            new SharedRetryBudget(
                settings.retryRatio(),
                settings.retryWindowMillis(),
                CONNECT_MILLIS,
                NETWORK_MILLIS));
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
