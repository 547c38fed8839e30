package org.tanagerbank.config;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.configreplica.ConfigRecord;
import org.tanagerbank.configreplica.ConfigReplica;
import org.tanagerbank.configreplica.RecordDecision;
import org.tanagerbank.configreplica.SnapshotPolicy;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Reads pages of the log and applies them to a replica.
 *
 * <p>Not thread-safe: only one thread may call this class. Access to the replica is guarded by the
 * monitor of the replica, which is not held during reads of the log, so that other threads can
 * apply offers of peers in the meantime.
 */
final class LogFollower {
  /**
   * An offset beyond the end of the log. A read from there returns at once and reports which
   * offsets are retained.
   */
  private static final long BEYOND_END = Long.MAX_VALUE / 2;

  /**
   * How many records before the end of the log a follower of recent records starts. This range
   * contains a snapshot unless the entries that append snapshots have been down.
   */
  private static final long RECENT_RECORDS = 2L * SnapshotPolicy.MAX_REPLAY_RECORDS;

  private final LogService log;
  private final ConfigReplica replica;
  private final int pageRecords;
  private final boolean readsAllRecords;
  private long firstRetained;
  private long scannedFrom;
  private boolean atEnd;

  private LogFollower(
      LogService log, ConfigReplica replica, int pageRecords, boolean readsAllRecords) {
    this.log = log;
    this.replica = replica;
    this.pageRecords = pageRecords;
    this.readsAllRecords = readsAllRecords;
  }

  /**
   * Returns a follower that starts with the most recent records, and reads older ones only if those
   * do not determine the revision in force.
   */
  static LogFollower ofRecent(LogService log, ConfigReplica replica, int pageRecords) {
    return new LogFollower(log, replica, pageRecords, false);
  }

  /** Returns a follower that reads all records that the log retains. */
  static LogFollower ofAll(LogService log, ConfigReplica replica, int pageRecords) {
    return new LogFollower(log, replica, pageRecords, true);
  }

  /**
   * Reads one page, applies it to the replica and returns the decisions on its records. The first
   * call also determines the offset to start from. Returns an empty list if the records to read
   * have expired; the next call then continues from an offset that the log still retains.
   *
   * @param waitMillis how long the read waits for a record, in milliseconds
   * @throws TanagerException with code {@code LOG_UNAVAILABLE} if the log cannot be read, or ends
   *     before the position of the replica
   */
  ImmutableList<RecordDecision> readPage(long waitMillis) {
    if (firstRetained == 0) {
      initializePosition(readsAllRecords);
    }
    try {
      LogPage page = fetchPage(waitMillis);
      synchronized (replica) {
        return applyPage(page);
      }
    } catch (TanagerException e) {
      if (e.code() != ErrorCode.RECORDS_EXPIRED) {
        throw e;
      }
      atEnd = false;
      initializePosition(readsAllRecords);
      return ImmutableList.of();
    }
  }

  private LogPage fetchPage(long waitMillis) {
    long from;
    synchronized (replica) {
      from = replica.position();
    }
    LogPage page = log.read(ConfigRecord.STREAM, from, pageRecords, waitMillis);
    if (page.nextOffset() < from) {
      throw TanagerException.notRun(
          ErrorCode.LOG_UNAVAILABLE,
          "the next offset of the log is "
              + page.nextOffset()
              + ", but records before offset "
              + from
              + " were already read or offered by a peer");
    }
    return page;
  }

  private ImmutableList<RecordDecision> applyPage(LogPage page) {
    firstRetained = page.firstRetained();
    atEnd = page.records().isEmpty();
    ImmutableList<RecordDecision> decisions = replica.apply(page);
    if (atEnd && !replica.isFollowing() && scannedFrom > firstRetained) {
      restartAt(firstRetained);
      atEnd = false;
    }
    return decisions;
  }

  private void initializePosition(boolean fromOldest) {
    LogPage end = log.read(ConfigRecord.STREAM, BEYOND_END, 1, 0);
    synchronized (replica) {
      firstRetained = end.firstRetained();
      restartAt(
          fromOldest ? firstRetained : Math.max(firstRetained, end.nextOffset() - RECENT_RECORDS));
    }
  }

  private void restartAt(long offset) {
    scannedFrom = offset;
    replica.startAt(offset);
  }

  /** Returns whether the last read returned no record, because it was at the end of the log. */
  boolean isAtEnd() {
    return atEnd;
  }

  /** Returns the oldest offset that the log retained at the last read; 0 before the first read. */
  long firstRetained() {
    return firstRetained;
  }
}
