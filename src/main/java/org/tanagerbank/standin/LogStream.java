package org.tanagerbank.standin;

import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.backing.LogRecord;

/**
 * The records of one stream within their retention.
 *
 * <p>Offsets begin at 1 and have no gaps. Not thread-safe.
 */
final class LogStream {
  private final long retentionMillis;
  private final int retentionRecords;
  private final List<LogRecord> records = new ArrayList<>();
  private int dropped;
  private long next = 1;

  LogStream(long retentionMillis, int retentionRecords) {
    this.retentionMillis = retentionMillis;
    this.retentionRecords = retentionRecords;
  }

  long append(byte[] data, long nowMillis) {
    records.add(new LogRecord(next, nowMillis, data));
    expire(nowMillis);
    return next++;
  }

  /** Drops records over the age or the count. */
  void expire(long nowMillis) {
    while (dropped < records.size()
        && (records.size() - dropped > retentionRecords
            || records.get(dropped).timeMillis() + retentionMillis < nowMillis)) {
      dropped++;
    }
    if (dropped > records.size() / 2) {
      records.subList(0, dropped).clear();
      dropped = 0;
    }
  }

  /** Returns the offset of the oldest retained record, or of the next one when none is retained. */
  long first() {
    return next - (records.size() - dropped);
  }

  /** Returns the offset that the next record gets. */
  long next() {
    return next;
  }

  List<LogRecord> read(long from, int max) {
    int start = dropped + (int) Math.min(Math.max(0, from - first()), records.size() - dropped);
    int end = (int) Math.min((long) start + max, records.size());
    return List.copyOf(records.subList(start, end));
  }
}
