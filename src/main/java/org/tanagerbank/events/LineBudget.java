package org.tanagerbank.events;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Bounds the lines of each kind that are logged in a second. Decision code; not thread-safe. */
final class LineBudget {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final int linesPerSecond;
  private final Map<String, Integer> lines = new HashMap<>();
  private final Map<String, Integer> dropped = new TreeMap<>();
  private long secondStart;

  /** Returns a budget of a number of lines of each kind in a second. */
  LineBudget(int linesPerSecond, long nowNanos) {
    checkArgument(linesPerSecond > 0, "lines per second: %s", linesPerSecond);
    this.linesPerSecond = linesPerSecond;
    this.secondStart = nowNanos;
  }

  /** Returns whether a line of a kind may be written, and counts it. */
  boolean allows(String kind, long nowNanos) {
    if (nowNanos - secondStart >= NANOS_PER_SECOND) {
      secondStart = nowNanos;
      lines.clear();
    }
    boolean allowed = lines.merge(kind, 1, Integer::sum) <= linesPerSecond;
    if (!allowed) {
      drop(kind);
    }
    return allowed;
  }

  /** Counts a line that was not written. */
  void drop(String kind) {
    dropped.merge(kind, 1, Integer::sum);
  }

  /** Returns the lines that were not written since the last call, by kind. */
  ImmutableSortedMap<String, Integer> takeDropped() {
    ImmutableSortedMap<String, Integer> taken = ImmutableSortedMap.copyOf(dropped);
    dropped.clear();
    return taken;
  }
}
