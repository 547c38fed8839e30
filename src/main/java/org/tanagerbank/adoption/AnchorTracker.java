package org.tanagerbank.adoption;

import java.util.ArrayDeque;
import org.tanagerbank.backing.LogRecord;

/**
 * Tracks the latest point of the log from which a reader without any state could start: offset 1,
 * or the record after the {@code asOf} of a Snapshot. Not thread-safe.
 */
public final class AnchorTracker {
  /** A Snapshot that is further behind than this is not counted, so one more is appended. */
  private static final int REMEMBERED_RECORDS = 1_024;

  private final ArrayDeque<Read> recent = new ArrayDeque<>();
  private long offset;
  private long timeMillis;

  private record Read(long offset, long timeMillis) {}

  /** Returns the first offset that a new reader would need; 0 when no start is known. */
  public long offset() {
    return offset;
  }

  /** Returns when the record at {@link #offset} was appended; 0 while there is no such record. */
  public long timeMillis() {
    return timeMillis;
  }

  void clear() {
    recent.clear();
    offset = 0;
    timeMillis = 0;
  }

  void anchoredAt(long start) {
    clear();
    offset = start;
  }

  void recordRead(LogRecord record) {
    recent.addLast(new Read(record.offset(), record.timeMillis()));
    if (recent.size() > REMEMBERED_RECORDS) {
      recent.removeFirst();
    }
    if (record.offset() == offset) {
      timeMillis = record.timeMillis();
    }
  }

  void snapshotRead(long asOf) {
    if (asOf + 1 <= offset) {
      return;
    }
    for (Read read : recent) {
      if (read.offset() == asOf + 1) {
        offset = read.offset();
        timeMillis = read.timeMillis();
      }
    }
  }
}
