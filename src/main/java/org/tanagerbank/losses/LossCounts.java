package org.tanagerbank.losses;

import java.util.Arrays;
import java.util.stream.Stream;

/** Counts of requests by outcome and cause. Not thread-safe. */
final class LossCounts {
  private final long[][] counts = new long[Outcome.values().length][Cause.values().length];

  void add(Outcome outcome, Cause cause) {
    counts[outcome.ordinal()][cause.ordinal()]++;
  }

  void addAll(LossCounts other) {
    for (int i = 0; i < counts.length; i++) {
      for (int j = 0; j < counts[i].length; j++) {
        counts[i][j] += other.counts[i][j];
      }
    }
  }

  long total() {
    return Stream.of(Outcome.values()).mapToLong(this::of).sum();
  }

  long lost() {
    return Stream.of(Outcome.values()).filter(Outcome::isLoss).mapToLong(this::of).sum();
  }

  long of(Outcome outcome) {
    return Arrays.stream(counts[outcome.ordinal()]).sum();
  }

  long of(Outcome outcome, Cause cause) {
    return counts[outcome.ordinal()][cause.ordinal()];
  }

  /** Returns the number of requests that were lost to a cause. */
  long lostTo(Cause cause) {
    return Stream.of(Outcome.values()).filter(Outcome::isLoss).mapToLong(o -> of(o, cause)).sum();
  }
}
