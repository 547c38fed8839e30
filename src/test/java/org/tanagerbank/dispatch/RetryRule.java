package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * Checks the rule for retries against all sliding windows of what a service received.
 *
 * <p>In each window, the arrivals beyond the first of each request must not exceed the ratio of the
 * requests in that window, in the one before it or in the one half a window before it, whichever
 * has most, plus the slack. Not thread-safe.
 */
final class RetryRule {
  private final double ratio;
  private final double slack;
  private final long windowMillis;
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> retries = new ArrayList<>();

  RetryRule(double ratio, double slack, long windowMillis) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowMillis = windowMillis;
  }

  void recordRequest(long sentAtMillis) {
    requests.add(sentAtMillis);
  }

  void recordRetry(long arrivedAtMillis) {
    retries.add(arrivedAtMillis);
  }

  int retryCount() {
    return retries.size();
  }

  /** Returns the most retries by which a window exceeds what is allowed; 0 or less if none does. */
  double worstExcess() {
    Collections.sort(requests);
    Collections.sort(retries);
    return endsToCheck().mapToDouble(this::excess).max().orElse(0);
  }

  /** The counts of windows change only at these ends. */
  private Stream<Long> endsToCheck() {
    ImmutableList<Long> offsets =
        ImmutableList.of(
            0L, windowMillis / 2, windowMillis, windowMillis * 3 / 2, windowMillis * 2);
    return Stream.concat(
        retries.stream(), requests.stream().flatMap(r -> offsets.stream().map(o -> r + o)));
  }

  private double excess(long end) {
    double most =
        DoubleStream.of(0, windowMillis / 2.0, windowMillis)
            .map(back -> count(requests, end - (long) back))
            .max()
            .orElse(0);
    return count(retries, end) - (ratio * most + slack);
  }

  /** Counts the events of the window that ends at a time, without its begin. */
  private long count(List<Long> sorted, long end) {
    return upTo(sorted, end) - upTo(sorted, end - windowMillis);
  }

  private static long upTo(List<Long> sorted, long limit) {
    int low = 0;
    int high = sorted.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (sorted.get(middle) <= limit) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
