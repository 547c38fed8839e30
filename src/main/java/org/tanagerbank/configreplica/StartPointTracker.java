package org.tanagerbank.configreplica;

import java.util.ArrayDeque;
import org.tanagerbank.platformclient.LogRecord;

/**
 * Tracks the start point: the latest offset of the log from which a reader without any state could
 * start. That is offset 1, or the offset after the {@code asOf} of a Snapshot.
 *
 * <p>Not thread-safe.
 */
public final class StartPointTracker {
  /**
   * How many of the records read last are remembered. A Snapshot whose {@code asOf} lies before
   * them does not move the start point, so that an entry appends one more Snapshot.
   */
  private static final int MAX_RECENT_RECORDS = 1_024;

  private final ArrayDeque<RecordPosition> recentRecords = new ArrayDeque<>();
  private long offset;
  private long timeMillis;

  /** The offset of a record and the time at which it was appended. */
  private record RecordPosition(long offset, long timeMillis) {}

  /** Returns the first offset that a new reader would need; 0 if no start point is known. */
  public long offset() {
    return offset;
  }

  /**
   * Returns when the record at {@link #offset} was appended, in milliseconds since the epoch; 0 if
   * that record has not been read since the start point was set.
   */
  public long timeMillis() {
    return timeMillis;
  }

  void clear() {
    recentRecords.clear();
    offset = 0;
    timeMillis = 0;
  }

  /** Clears the tracker and sets the start point. */
  void resetTo(long startOffset) {
    clear();
    offset = startOffset;
  }

  /** Remembers a record that was read. */
  void addRecord(LogRecord record) {
    recentRecords.addLast(new RecordPosition(record.offset(), record.timeMillis()));
    if (recentRecords.size() > MAX_RECENT_RECORDS) {
      recentRecords.removeFirst();
    }
    if (record.offset() == offset) {
      timeMillis = record.timeMillis();
    }
  }

  /**
   * Moves the start point to the offset after {@code asOf}, if that is later than the current start
   * point and the record at that offset is remembered.
   */
  void applySnapshot(long asOf) {
    if (asOf + 1 <= offset) {
      return;
    }
    for (RecordPosition position : recentRecords) {
      if (position.offset() == asOf + 1) {
        offset = position.offset();
        timeMillis = position.timeMillis();
      }
    }
  }
}
