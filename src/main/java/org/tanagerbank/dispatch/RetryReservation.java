package org.tanagerbank.dispatch;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.tanagerbank.routing.SharedRetryBudget.Permit;

/**
 * The retry that one request has taken from the budget of its service and has not sent yet.
 *
 * <p>A retry that is not sent goes back to the budget. Not thread-safe; confined to the event loop.
 */
final class RetryReservation {
  private final RetryBudgets budgets;
  private final String service;
  private final LongSupplier clockMillis;
  private Optional<Permit> permit = Optional.empty();

  RetryReservation(RetryBudgets budgets, String service, LongSupplier clockMillis) {
    this.budgets = budgets;
    this.service = service;
    this.clockMillis = clockMillis;
  }

  /** Takes a retry from the budget unless one is held; returns whether one is held now. */
  boolean acquire() {
    if (permit.isEmpty()) {
      permit = budgets.tryAcquire(service, clockMillis.getAsLong());
    }
    return permit.isPresent();
  }

  /** Records that a retry is sent. Returns false if it may not be sent, because it is too late. */
  boolean recordSent() {
    boolean maySend =
        permit.isPresent() && budgets.recordSent(service, permit.get(), clockMillis.getAsLong());
    if (maySend) {
      permit = Optional.empty();
    }
    return maySend;
  }

  /** Gives the retry back to the budget if one is held. */
  void release() {
    permit.ifPresent(p -> budgets.release(service, p));
    permit = Optional.empty();
  }
}
