package org.tanagerbank.standin.direct;

import com.google.common.collect.ImmutableSortedMap;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.tanagerbank.upstream.LoadReport;

/**
 * Counts what an engine did and measures how long it took. Not thread-safe; confined to the event
 * loop of the engine.
 */
final class EngineStatistics {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final SortedMap<RunEvent, Long> events = new TreeMap<>();
  private final SortedMap<Integer, Long> statuses = new TreeMap<>();
  private final Histogram beginMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram runMicros = new Histogram(SIGNIFICANT_DIGITS);

  /**
   * The statistics at a moment. Immutable.
   *
   * @param load the load of the engine
   * @param events the number of records of each event
   * @param statuses the number of responses with each status, including incomplete ones
   * @param beginMicros the time from the arrival of a request to its begin
   * @param runMicros the time from the begin of a request to its end
   */
  record Snapshot(
      LoadReport load,
      ImmutableSortedMap<RunEvent, Long> events,
      ImmutableSortedMap<Integer, Long> statuses,
      Percentiles beginMicros,
      Percentiles runMicros) {}

  /** Percentiles of a duration in microseconds. Immutable. */
  record Percentiles(long count, long p50, long p90, long p99, long max) {
    private static Percentiles of(Histogram histogram) {
      return new Percentiles(
          histogram.getTotalCount(),
          histogram.getValueAtPercentile(50),
          histogram.getValueAtPercentile(90),
          histogram.getValueAtPercentile(99),
          histogram.getMaxValue());
    }
  }

  void count(RunRecord record) {
    events.merge(record.event(), 1L, Long::sum);
    if (record.status() != null) {
      statuses.merge(record.status(), 1L, Long::sum);
    }
  }

  void addBegin(long micros) {
    beginMicros.recordValue(Math.max(0, micros));
  }

  void addRun(long micros) {
    runMicros.recordValue(Math.max(0, micros));
  }

  Snapshot snapshot(LoadReport load) {
    return new Snapshot(
        load,
        ImmutableSortedMap.copyOfSorted(events),
        ImmutableSortedMap.copyOfSorted(statuses),
        Percentiles.of(beginMicros),
        Percentiles.of(runMicros));
  }
}
