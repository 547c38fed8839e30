package org.tanagerbank.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Histograms of the time to the first token and of the time between tokens.
 *
 * <p>Values are recorded with a resolution of one microsecond or three digits and are limited to 10
 * minutes. Thread-safe.
 */
public final class Latencies {
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram betweenTokens = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

  void recordFirstToken(long nanos) {
    firstToken.recordValue(micros(nanos));
  }

  void recordBetweenTokens(long nanos) {
    betweenTokens.recordValue(micros(nanos));
  }

  /** Adds all recorded times of another instance. */
  void add(Latencies other) {
    firstToken.add(other.firstToken);
    betweenTokens.add(other.betweenTokens);
  }

  /** Returns a percentile, from 0 to 100, of the time to the first token in microseconds. */
  public long firstTokenMicros(double percentile) {
    return firstToken.getValueAtPercentile(percentile);
  }

  /** Returns a percentile, from 0 to 100, of the time between tokens in microseconds. */
  public long betweenTokensMicros(double percentile) {
    return betweenTokens.getValueAtPercentile(percentile);
  }

  private static long micros(long nanos) {
    return Math.min(MAX_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }
}
