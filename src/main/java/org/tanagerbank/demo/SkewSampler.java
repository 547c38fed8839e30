package org.tanagerbank.demo;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Samples the requests in flight of each engine and computes the load skew over time.
 *
 * <p>The load skew is the largest time-averaged number of requests in flight of an engine, divided
 * by the mean over all engines. Thread-safe.
 */
final class SkewSampler {
  private final List<IntSupplier> engines;
  private final long[] inFlightSums;

  SkewSampler(List<IntSupplier> engines) {
    this.engines = List.copyOf(engines);
    this.inFlightSums = new long[engines.size()];
  }

  synchronized void sample() {
    for (int i = 0; i < inFlightSums.length; i++) {
      inFlightSums[i] += engines.get(i).getAsInt();
    }
  }

  /** Returns the load skew, or 0 if no sample had a request in flight. */
  synchronized double skew() {
    long total = Arrays.stream(inFlightSums).sum();
    long largestSum = Arrays.stream(inFlightSums).max().orElse(0);
    return total == 0 ? 0 : (double) largestSum * inFlightSums.length / total;
  }
}
