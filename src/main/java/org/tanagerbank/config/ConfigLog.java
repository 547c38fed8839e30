package org.tanagerbank.config;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagerbank.adoption.ConfigReplica;
import org.tanagerbank.adoption.RecordDecision;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;

/**
 * Reads the configuration log for one operator command. Not thread-safe.
 *
 * <p>Failed calls are repeated until a time limit that spans the whole command.
 */
public final class ConfigLog {
  private static final int PAGE_RECORDS = 1_000;
  private static final long FIRST_PAUSE_MILLIS = 100;
  private static final long MAX_PAUSE_MILLIS = 2_000;

  private final ConfigReplica replica = new ConfigReplica();
  private final LogFollower follower;
  private final long deadlineNanos;
  private long pauseMillis = FIRST_PAUSE_MILLIS;

  private ConfigLog(LogService log, long timeoutMillis, boolean whole) {
    this.follower =
        whole
            ? LogFollower.ofAll(log, replica, PAGE_RECORDS)
            : LogFollower.ofRecent(log, replica, PAGE_RECORDS);
    this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  /** Returns a reader of the recent records that gives up after a time. */
  public static ConfigLog ofRecent(LogService log, long timeoutMillis) {
    return new ConfigLog(log, timeoutMillis, false);
  }

  /** Returns a reader of all retained records that gives up after a time. */
  public static ConfigLog ofAll(LogService log, long timeoutMillis) {
    return new ConfigLog(log, timeoutMillis, true);
  }

  /**
   * Reads to the end of the log and passes on what each record did, in the order of reading.
   * Records that were passed on as UNDECIDED may come again, once a Snapshot has told the state
   * before them.
   *
   * @throws TanagerException if the log could not be read in time, or holds a record that this
   *     version does not know
   */
  public void readToEnd(Consumer<RecordDecision> listener) throws InterruptedException {
    do {
      try {
        follower.step(0).forEach(listener);
        pauseMillis = FIRST_PAUSE_MILLIS;
      } catch (TanagerException e) {
        pause(e);
      }
      if (replica.isStalled()) {
        throw TanagerException.notRun(
            ErrorCode.PLATFORM_ERROR,
            "the record at offset "
                + replica.position()
                + " has a later format; use a newer version of tanagerbank");
      }
    } while (!follower.isAtEnd());
  }

  /** Reads to the end, and requires that the revision in force is known then. */
  void readState(Consumer<RecordDecision> listener) throws InterruptedException {
    readToEnd(listener);
    requireState();
  }

  /**
   * Requires that the revision in force follows from what was read.
   *
   * @throws TanagerException with code {@code NO_CONFIGURATION} if it does not
   */
  void requireState() {
    if (!replica.isFollowing()) {
      throw TanagerException.notRun(
          ErrorCode.NO_CONFIGURATION,
          "the log begins at offset "
              + follower.firstRetained()
              + " and holds no snapshot from which the revision in force follows");
    }
  }

  /**
   * Waits before a failed call is repeated.
   *
   * @throws TanagerException the given one when the time is up
   */
  void pause(TanagerException failure) throws InterruptedException {
    checkTime(failure);
    TimeUnit.MILLISECONDS.sleep(Math.max(pauseMillis, 1));
    pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
  }

  void checkTime(TanagerException failure) {
    if (System.nanoTime() - deadlineNanos >= 0) {
      throw failure;
    }
  }

  /** Returns the reader's state. */
  public ConfigReplica replica() {
    return replica;
  }
}
