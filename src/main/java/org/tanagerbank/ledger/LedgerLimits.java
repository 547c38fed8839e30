package org.tanagerbank.ledger;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The limits on what a ledger retains.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxRecords the number of request records to retain; ended requests above it are evicted
 * @param maxAgeMillis how long an ended request is retained
 * @param maxKeys the number of keys at which requests with a new key are refused; at twice this
 *     number not even refusals can be recorded, so no key can be sealed any more
 * @param callerKeyMillis how long a key chosen by a caller is retained, which is the retention time
 *     of its claim
 * @param maxEntryIncarnations the number of entry incarnations with records; requests of further
 *     ones are not run
 */
public record LedgerLimits(
    int maxRecords,
    long maxAgeMillis,
    int maxKeys,
    long callerKeyMillis,
    int maxEntryIncarnations) {
  /**
   * The limits of a sidecar in production. At 10 requests/s an upstream ends 6,000 requests in the
   * 10 minutes for which records are retained; the count allows ten times as many, for bursts of
   * refusals.
   */
  public static final LedgerLimits DEFAULT =
      new LedgerLimits(65_536, 600_000, 200_000, 86_400_000, 65_536);

  public LedgerLimits {
    checkArgument(maxRecords > 0, "maxRecords must be positive: %s", maxRecords);
    checkArgument(maxKeys > 0, "maxKeys must be positive: %s", maxKeys);
    checkArgument(
        maxEntryIncarnations > 0,
        "maxEntryIncarnations must be positive: %s",
        maxEntryIncarnations);
  }
}
