package org.tanagerbank.configreplica;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * A log with one stream, in which tests can cause outages, lost responses and the expiry of
 * records.
 *
 * <p>The record at offset n has the time n seconds after the epoch. Thread-safe.
 */
public final class InMemoryLog implements LogService {
  private final List<LogRecord> allRecords = new ArrayList<>();
  private long firstRetained = 1;
  private boolean outage;
  private int responsesToLose;

  @Override
  public synchronized long append(String stream, byte[] data) {
    checkAvailable();
    allRecords.add(new LogRecord(allRecords.size() + 1L, 1_000 * (allRecords.size() + 1L), data));
    notifyAll();
    if (responsesToLose > 0) {
      responsesToLose--;
      throw TanagerException.mayHaveRun(
          ErrorCode.LOG_UNAVAILABLE, "the response to the append was lost");
    }
    return allRecords.size();
  }

  @Override
  public synchronized LogPage read(String stream, long from, int max, long waitMillis) {
    checkAvailable();
    if (from == allRecords.size() + 1L && waitMillis > 0) {
      try {
        wait(waitMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      checkAvailable();
    }
    if (from < firstRetained) {
      throw TanagerException.notRun(
          ErrorCode.RECORDS_EXPIRED, "the log begins at offset " + firstRetained);
    }
    int start = (int) Math.min(from - 1, allRecords.size());
    int end = Math.min(start + max, allRecords.size());
    return new LogPage(
        firstRetained, end + 1L, ImmutableList.copyOf(allRecords.subList(start, end)));
  }

  private void checkAvailable() {
    if (outage) {
      throw TanagerException.of(ErrorCode.LOG_UNAVAILABLE, Verdict.NOT_RUN, 0, "the log is down");
    }
  }

  /** Begins or ends an outage. */
  public synchronized void setOutage(boolean outage) {
    this.outage = outage;
    notifyAll();
  }

  /** Causes the next appends to take effect, but to fail as if their responses were lost. */
  public synchronized void loseNextResponses(int count) {
    responsesToLose = count;
  }

  /** Causes all records before an offset to expire. */
  public synchronized void expireBefore(long offset) {
    firstRetained = Math.max(firstRetained, Math.min(offset, allRecords.size() + 1L));
  }

  /** Returns all records ever appended, including expired ones. */
  public synchronized List<LogRecord> allRecords() {
    return List.copyOf(allRecords);
  }

  /** Returns the oldest offset that is retained. */
  public synchronized long firstRetained() {
    return firstRetained;
  }
}
