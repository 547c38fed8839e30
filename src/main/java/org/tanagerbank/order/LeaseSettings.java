package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times of the right to give orders.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaseMillis how long a successor must assume that its predecessor gives orders
 * @param marginMillis by how much a holder stops earlier and a successor starts later; twice the
 *     margin is the time that an order may take from the check to its effect at the engine
 */
public record LeaseSettings(long leaseMillis, long marginMillis) {
  /** The values used in operation. */
  public static final LeaseSettings DEFAULT = new LeaseSettings(5_000, 1_000);

  public LeaseSettings {
    checkArgument(marginMillis > 0, "margin must be positive: %s", marginMillis);
    checkArgument(leaseMillis > marginMillis, "lease must be longer than the margin");
  }
}
