package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.routing.SharedRetryBudget;
import org.tanagerbank.routing.SharedRetryBudget.Permit;

/**
 * Holds, for each service, the budget of retries that this instance may send.
 *
 * <p>Invariant: in each window, a service receives no more retries from the fleet than the ratio of
 * its requests plus the fixed number of the fleet. {@link SharedRetryBudget} keeps the bound of
 * this instance, which is a sum over instances, and {@link RetryShare} keeps the parts of the fixed
 * number within the whole. Not thread-safe; confined to the event loop.
 */
final class RetryBudgets {
  /** The longest time to open a connection, the timeout of the connector, in milliseconds. */
  private static final long CONNECT_MILLIS = 1_000;

  /**
   * The longest time in milliseconds that a message is on its way between a caller, this instance
   * and an upstream. A packet that is lost once is sent again within 200 ms.
   */
  private static final long NETWORK_MILLIS = 250;

  private final DispatchSettings settings;
  private final RetryShare share;
  private final Map<String, SharedRetryBudget> byService = new HashMap<>();

  RetryBudgets(DispatchSettings settings) {
    this.settings = settings;
    this.share =
        new RetryShare(
            settings.fleetRetryFloor(),
            settings.retryWindowMillis() + CONNECT_MILLIS + NETWORK_MILLIS);
  }

  /** Records a request for a service that was received from a caller. */
  void recordRequest(String service, long nowMillis) {
    budget(service).recordRequest(nowMillis);
  }

  /** Takes one retry from the budget of a service, or returns empty if none is left. */
  Optional<Permit> tryAcquire(String service, long nowMillis) {
    return budget(service).tryAcquire(nowMillis, share.retries(nowMillis));
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

  /** Replaces the ids of the other instances that share the retries allowed beyond the ratio. */
  void setKnownInstances(ImmutableSet<String> ids, long nowMillis) {
    share.setKnown(ids, nowMillis);
  }

  /** Records that another instance has sent a digest. */
  void recordHeard(String instanceId, long nowMillis) {
    share.recordHeard(instanceId, nowMillis);
  }

  /** Records that the registered instances were read. */
  void recordDirectoryRead(long nowMillis) {
    share.recordDirectoryRead(nowMillis);
  }

  /** Records that this instance has just started again after it had served before. */
  void recordRestart() {
    share.recordRestart();
  }
}
