package org.tanagerbank.adoption;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;

/** One stream of a log with outages, lost answers and expiry on request. Thread-safe. */
public final class InMemoryLog implements LogService {
  private final List<LogRecord> all = new ArrayList<>();
  private long first = 1;
  private boolean outage;
  private int lostAnswers;

  @Override
  public synchronized long append(String stream, byte[] data) {
    checkUp();
    all.add(new LogRecord(all.size() + 1L, 1_000 * (all.size() + 1L), data));
    notifyAll();
    if (lostAnswers > 0) {
      lostAnswers--;
      throw TanagerException.mayHaveRun(ErrorCode.LOG_UNAVAILABLE, "answer lost");
    }
    return all.size();
  }

  @Override
  public synchronized LogPage read(String stream, long from, int max, long waitMillis) {
    checkUp();
    if (from == all.size() + 1L && waitMillis > 0) {
      try {
        wait(waitMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      checkUp();
    }
    if (from < first) {
      throw TanagerException.notRun(ErrorCode.RECORDS_EXPIRED, "begins at " + first);
    }
    int start = (int) Math.min(from - 1, all.size());
    int end = Math.min(start + max, all.size());
    return new LogPage(first, end + 1L, ImmutableList.copyOf(all.subList(start, end)));
  }

  private void checkUp() {
    if (outage) {
      throw TanagerException.of(ErrorCode.LOG_UNAVAILABLE, Verdict.NOT_RUN, 0, "outage");
    }
  }

  /** Begins or ends an outage. */
  public synchronized void setOutage(boolean outage) {
    this.outage = outage;
    notifyAll();
  }

  /** Loses the answer of the next appends, which take effect. */
  public synchronized void loseAnswers(int count) {
    lostAnswers = count;
  }

  /** Drops all records before an offset. */
  public synchronized void expireBefore(long offset) {
    first = Math.max(first, Math.min(offset, all.size() + 1L));
  }

  /** Returns all records ever appended. */
  public synchronized List<LogRecord> all() {
    return List.copyOf(all);
  }

  /** Returns the oldest retained offset. */
  public synchronized long first() {
    return first;
  }
}
