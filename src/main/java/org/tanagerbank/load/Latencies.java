package org.tanagerbank.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Times to the first token and between tokens, in microseconds.
 *
 * <p>Thread-safe.
 */
public final class Latencies {
  private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int DIGITS = 3;

  private final Histogram firstToken = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
  private final Histogram betweenTokens = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);

  void firstToken(long nanos) {
    firstToken.recordValue(micros(nanos));
  }

  void betweenTokens(long nanos) {
    betweenTokens.recordValue(micros(nanos));
  }

  /** Adds all times of another run. */
  void add(Latencies other) {
    firstToken.add(other.firstToken);
    betweenTokens.add(other.betweenTokens);
  }

  /** Returns the time to the first token at a percentile, in microseconds. */
  public long firstTokenMicros(double percentile) {
    return firstToken.getValueAtPercentile(percentile);
  }

  /** Returns the time between tokens at a percentile, in microseconds. */
  public long betweenTokensMicros(double percentile) {
    return betweenTokens.getValueAtPercentile(percentile);
  }

  private static long micros(long nanos) {
    return Math.min(HIGHEST_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }
}
