package org.tanagerbank.standin;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of a {@link LogStandin}. Immutable.
 *
 * @param retentionMillis the age at which records expire
 * @param retentionRecords the maximum number of records retained per stream
 * @param appendsPerSecond the maximum append rate over all streams; appends above it get status 429
 * @param slowMillis the delay of every response
 */
public record LogSettings(
    long retentionMillis, int retentionRecords, int appendsPerSecond, long slowMillis) {
  public LogSettings {
    checkArgument(retentionMillis > 0, "retentionMillis must be positive: %s", retentionMillis);
    checkArgument(retentionRecords > 0, "retentionRecords must be positive: %s", retentionRecords);
    checkArgument(appendsPerSecond > 0, "appendsPerSecond must be positive: %s", appendsPerSecond);
    checkArgument(slowMillis >= 0, "slowMillis must not be negative: %s", slowMillis);
  }

  /**
   * Returns the settings of the real platform: a retention of one day and 500 appends per second.
   */
  public static LogSettings defaults() {
    return new LogSettings(86_400_000, 1_000_000, 500, 0);
  }
}
