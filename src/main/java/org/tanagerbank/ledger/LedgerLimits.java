package org.tanagerbank.ledger;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of a ledger.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxRecords ended requests kept
 * @param maxAgeMillis how long an ended request is kept
 * @param maxKeys keys of runs kept; at twice this number of keys in all, no key can be refused for
 *     good any more
 * @param madeKeyMillis how long a key that a caller made up is kept, the retention of its claim
 * @param maxEntryIncarnations entry incarnations known; requests of further ones are not run
 */
public record LedgerLimits(
    int maxRecords, long maxAgeMillis, int maxKeys, long madeKeyMillis, int maxEntryIncarnations) {
  /**
   * The limits of a sidecar in service. At 10 requests/s an upstream ends 6,000 requests in the 10
   * minutes that records are kept; the count leaves ten times that for bursts of refusals.
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
