package org.tanagerbank.config;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.adoption.ConfigRecord;
import org.tanagerbank.adoption.ConfigReplica;
import org.tanagerbank.adoption.RecordDecision;
import org.tanagerbank.adoption.SnapshotPolicy;
import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;

/**
 * Feeds a replica from the log, one read at a time.
 *
 * <p>One thread calls this class. The replica is guarded by its own monitor, which is not held
 * during reads, so that other threads may give it offers of peers meanwhile.
 */
final class LogFollower {
  /** A read from beyond the end is answered at once and tells which offsets are retained. */
  private static final long BEYOND_END = Long.MAX_VALUE / 2;

  /** Holds a snapshot unless the entries that append them have been down. */
  private static final long RECENT_RECORDS = 2L * SnapshotPolicy.MAX_RECORDS_BEHIND;

  private final LogService log;
  private final ConfigReplica replica;
  private final int pageRecords;
  private final boolean whole;
  private long firstRetained;
  private long scannedFrom;
  private boolean atEnd;

  private LogFollower(LogService log, ConfigReplica replica, int pageRecords, boolean whole) {
    this.log = log;
    this.replica = replica;
    this.pageRecords = pageRecords;
    this.whole = whole;
  }

  /** Returns a follower that reads no more than it needs to learn the revision in force. */
  static LogFollower ofRecent(LogService log, ConfigReplica replica, int pageRecords) {
    return new LogFollower(log, replica, pageRecords, false);
  }

  /** Returns a follower that reads all records that the log retains. */
  static LogFollower ofAll(LogService log, ConfigReplica replica, int pageRecords) {
    return new LogFollower(log, replica, pageRecords, true);
  }

  /**
   * Makes one read, after finding out where the log begins if that is not known, and returns what
   * the records did.
   *
   * @throws TanagerException with code {@code LOG_UNAVAILABLE}
   */
  ImmutableList<RecordDecision> step(long waitMillis) {
    if (firstRetained == 0) {
      begin(whole);
    }
    try {
      LogPage page = read(waitMillis);
      synchronized (replica) {
        return take(page);
      }
    } catch (TanagerException e) {
      if (e.code() != ErrorCode.RECORDS_EXPIRED) {
        throw e;
      }
      atEnd = false;
      begin(whole);
      return ImmutableList.of();
    }
  }

  private LogPage read(long waitMillis) {
    long from;
    synchronized (replica) {
      from = replica.position();
    }
    LogPage page = log.read(ConfigRecord.STREAM, from, pageRecords, waitMillis);
    if (page.next() < from) {
      throw TanagerException.notRun(
          ErrorCode.LOG_UNAVAILABLE,
          "the log ends before offset " + from + ", which was read or offered by a peer earlier");
    }
    return page;
  }

  private ImmutableList<RecordDecision> take(LogPage page) {
    firstRetained = page.firstRetained();
    atEnd = page.records().isEmpty();
    ImmutableList<RecordDecision> decisions = replica.read(page);
    if (atEnd && !replica.isFollowing() && scannedFrom > firstRetained) {
      beginAt(firstRetained);
      atEnd = false;
    }
    return decisions;
  }

  private void begin(boolean fromOldest) {
    LogPage end = log.read(ConfigRecord.STREAM, BEYOND_END, 1, 0);
    synchronized (replica) {
      firstRetained = end.firstRetained();
      beginAt(fromOldest ? firstRetained : Math.max(firstRetained, end.next() - RECENT_RECORDS));
    }
  }

  private void beginAt(long offset) {
    scannedFrom = offset;
    replica.begin(offset);
  }

  /** Returns whether the last read reached the end of the log. */
  boolean isAtEnd() {
    return atEnd;
  }

  /** Returns the oldest offset retained, as the last read gave it. */
  long firstRetained() {
    return firstRetained;
  }
}
