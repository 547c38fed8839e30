package org.tanagerbank.standin;

import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.platformclient.LogRecord;

/**
 * The retained records of one stream.
 *
 * <p>Offsets start at 1 and have no gaps. Not thread-safe.
 */
final class LogStream {
  private final long retentionMillis;
  private final int retentionRecords;
  private final List<LogRecord> records = new ArrayList<>();

  /** The number of records at the start of the list that have expired but are not removed yet. */
  private int expiredCount;

  private long nextOffset = 1;

  LogStream(long retentionMillis, int retentionRecords) {
    this.retentionMillis = retentionMillis;
    this.retentionRecords = retentionRecords;
  }

  long append(byte[] data, long nowMillis) {
    records.add(new LogRecord(nextOffset, nowMillis, data));
    expire(nowMillis);
    return nextOffset++;
  }

  /** Removes the records that exceed the retention by age or by count. */
  void expire(long nowMillis) {
    while (expiredCount < records.size()
        && (records.size() - expiredCount > retentionRecords
            || records.get(expiredCount).timeMillis() + retentionMillis < nowMillis)) {
      expiredCount++;
    }
    if (expiredCount > records.size() / 2) {
      records.subList(0, expiredCount).clear();
      expiredCount = 0;
    }
  }

  /**
   * Returns the offset of the oldest retained record, or the next offset if no record is retained.
   */
  long firstOffset() {
    return nextOffset - (records.size() - expiredCount);
  }

  /** Returns the offset of the next record to be appended. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns up to {@code max} retained records from an offset on. */
  List<LogRecord> read(long from, int max) {
    int start =
        expiredCount
            + (int) Math.min(Math.max(0, from - firstOffset()), records.size() - expiredCount);
    int end = (int) Math.min((long) start + max, records.size());
    return List.copyOf(records.subList(start, end));
  }
}
