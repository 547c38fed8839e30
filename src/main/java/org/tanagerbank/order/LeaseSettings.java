package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The durations of an {@link OrderLease}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaseMillis the time in milliseconds for which a successor must assume that its
 *     predecessor still gives orders
 * @param marginMillis the time in milliseconds by which a holder stops before the end of the lease
 *     and a successor starts after it; an order may take up to twice the margin from the check to
 *     its effect at the engine
 */
public record LeaseSettings(long leaseMillis, long marginMillis) {
  /** The settings for production. */
  public static final LeaseSettings DEFAULT = new LeaseSettings(5_000, 1_000);

  public LeaseSettings {
    checkArgument(marginMillis > 0, "marginMillis must be positive: %s", marginMillis);
    checkArgument(
        leaseMillis > marginMillis,
        "leaseMillis must be greater than marginMillis: " + leaseMillis + " <= " + marginMillis);
  }
}
