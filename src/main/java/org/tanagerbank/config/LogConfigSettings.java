package org.tanagerbank.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Settings of {@link LogConfigSource}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the id of this instance, which ranks it among those that append snapshots; empty for
 *     a process that never appends one
 * @param pollMillis how long one read waits for a record
 * @param pageRecords the limit on the records of one read
 * @param firstRetryMillis the wait after the first failed read
 * @param maxRetryMillis the limit of that wait, which doubles with each failure in a row; it bounds
 *     how late a change arrives after an outage
 * @param retentionMillis how long the log keeps records
 */
public record LogConfigSettings(
    String self,
    long pollMillis,
    int pageRecords,
    long firstRetryMillis,
    long maxRetryMillis,
    long retentionMillis) {
  public LogConfigSettings {
    checkNotNull(self);
    checkArgument(pollMillis >= 0, "poll time must not be negative: %s", pollMillis);
    checkArgument(pageRecords > 0, "page size must be positive: %s", pageRecords);
    checkArgument(firstRetryMillis > 0, "retry time must be positive: %s", firstRetryMillis);
    checkArgument(maxRetryMillis >= firstRetryMillis, "retry limit is below the first retry");
  }

  /** Returns the values used in operation. */
  public static LogConfigSettings defaults(String self) {
    return new LogConfigSettings(self, 10_000, 500, 200, 4_000, 24 * 3_600_000L);
  }
}
