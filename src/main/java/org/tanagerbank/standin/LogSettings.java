package org.tanagerbank.standin;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of a {@link LogStandin}.
 *
 * @param retentionMillis the age at which records expire
 * @param retentionRecords how many records of a stream are kept
 * @param appendsPerSecond the append rate over all streams; above it appends get 429
 * @param slowMillis the delay of every answer
 */
public record LogSettings(
    long retentionMillis, int retentionRecords, int appendsPerSecond, long slowMillis) {
  public LogSettings {
    checkArgument(retentionMillis > 0, "retentionMillis must be positive: %s", retentionMillis);
    checkArgument(retentionRecords > 0, "retentionRecords must be positive: %s", retentionRecords);
    checkArgument(appendsPerSecond > 0, "appendsPerSecond must be positive: %s", appendsPerSecond);
    checkArgument(slowMillis >= 0, "slowMillis must not be negative: %s", slowMillis);
  }

  /** Returns the settings of the real platform: a day of retention and 500 appends a second. */
  public static LogSettings defaults() {
    return new LogSettings(86_400_000, 1_000_000, 500, 0);
  }
}
