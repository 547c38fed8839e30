package org.tanagerbank.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Settings of {@link LogConfigSource}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instanceId the id of this instance, which determines its rank among the instances that
 *     append snapshots; empty for a process that never appends one
 * @param pollMillis the longest time in milliseconds for which one read waits for a record
 * @param pageRecords the maximum number of records that one read returns
 * @param firstRetryMillis the base of the delay after failed reads, in milliseconds; the delay
 *     doubles with each consecutive failure
 * @param maxRetryMillis the maximum of that delay in milliseconds, which limits how late a change
 *     arrives after an outage; also the delay between reads while the log is readable but does not
 *     determine the revision in force
 * @param retentionMillis how long the log retains a record, in milliseconds
 */
public record LogConfigSettings(
    String instanceId,
    long pollMillis,
    int pageRecords,
    long firstRetryMillis,
    long maxRetryMillis,
    long retentionMillis) {
  public LogConfigSettings {
    checkNotNull(instanceId);
    checkArgument(pollMillis >= 0, "pollMillis must not be negative: %s", pollMillis);
    checkArgument(pageRecords > 0, "pageRecords must be positive: %s", pageRecords);
    checkArgument(firstRetryMillis > 0, "firstRetryMillis must be positive: %s", firstRetryMillis);
    checkArgument(
        maxRetryMillis >= firstRetryMillis,
        "maxRetryMillis must be at least firstRetryMillis (%s): %s",
        firstRetryMillis,
        maxRetryMillis);
  }

  /** Returns the production settings for an instance. */
  public static LogConfigSettings defaults(String instanceId) {
    return new LogConfigSettings(instanceId, 10_000, 500, 200, 4_000, 24 * 3_600_000L);
  }
}
