package org.tanagerbank.events;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Limits the number of log lines of each kind per second, and counts the dropped lines.
 *
 * <p>Does not read a clock; the time is an argument. Not thread-safe.
 */
final class LogRateLimiter {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final int linesPerSecond;
  private final Map<String, Integer> lines = new HashMap<>();
  private final Map<String, Integer> dropped = new TreeMap<>();
  private long secondStart;

  /**
   * Creates a limiter whose first second starts now.
   *
   * @param linesPerSecond the maximum number of lines of each kind in a second
   */
  LogRateLimiter(int linesPerSecond, long nowNanos) {
    checkArgument(linesPerSecond > 0, "linesPerSecond must be positive: %s", linesPerSecond);
    this.linesPerSecond = linesPerSecond;
    this.secondStart = nowNanos;
  }

  /** Returns whether a line of a kind may be written now; if not, counts it as dropped. */
  boolean tryAcquire(String kind, long nowNanos) {
    if (nowNanos - secondStart >= NANOS_PER_SECOND) {
      secondStart = nowNanos;
      lines.clear();
    }
    boolean allowed = lines.merge(kind, 1, Integer::sum) <= linesPerSecond;
    if (!allowed) {
      recordDropped(kind);
    }
    return allowed;
  }

  /** Counts a line that was dropped. */
  void recordDropped(String kind) {
    dropped.merge(kind, 1, Integer::sum);
  }

  /** Returns the number of dropped lines of each kind and resets the counts. */
  ImmutableSortedMap<String, Integer> drainDropped() {
    ImmutableSortedMap<String, Integer> taken = ImmutableSortedMap.copyOf(dropped);
    dropped.clear();
    return taken;
  }
}
