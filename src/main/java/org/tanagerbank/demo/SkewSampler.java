package org.tanagerbank.demo;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Samples requests in flight per engine and computes load skew over time.
 *
 * <p>Skew is the largest time-averaged in-flight count of an engine over the mean of all engines.
 * Thread-safe.
 */
final class SkewSampler {
  private final List<IntSupplier> engines;
  private final long[] sums;

  SkewSampler(List<IntSupplier> engines) {
    this.engines = List.copyOf(engines);
    this.sums = new long[engines.size()];
  }

  synchronized void sample() {
    for (int i = 0; i < sums.length; i++) {
      sums[i] += engines.get(i).getAsInt();
    }
  }

  /** Returns the skew; 0 when nothing was in flight. */
  synchronized double skew() {
    long total = Arrays.stream(sums).sum();
    long largest = Arrays.stream(sums).max().orElse(0);
    return total == 0 ? 0 : (double) largest * sums.length / total;
  }
}
