package org.tanagerbank.config;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagerbank.configreplica.ConfigReplica;
import org.tanagerbank.configreplica.RecordDecision;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Reads the configuration log for one operator command.
 *
 * <p>Failed calls to the log are retried with exponential backoff, until a deadline that covers the
 * whole command. Not thread-safe.
 */
public final class ConfigLogReader {
  private static final int PAGE_RECORDS = 1_000;
  private static final long INITIAL_RETRY_DELAY_MILLIS = 100;
  private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

  private final ConfigReplica replica = new ConfigReplica();
  private final LogFollower follower;
  private final long deadlineNanos;
  private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;

  private ConfigLogReader(LogService log, long timeoutMillis, boolean readsAllRecords) {
    this.follower =
        readsAllRecords
            ? LogFollower.ofAll(log, replica, PAGE_RECORDS)
            : LogFollower.ofRecent(log, replica, PAGE_RECORDS);
    this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  /**
   * Returns a reader of the most recent records. It reads older ones only if it needs them to
   * determine the revision in force.
   *
   * @param timeoutMillis how long the command may take, in milliseconds from now
   */
  public static ConfigLogReader ofRecent(LogService log, long timeoutMillis) {
    return new ConfigLogReader(log, timeoutMillis, false);
  }

  /**
   * Returns a reader of all records that the log retains.
   *
   * @param timeoutMillis how long the command may take, in milliseconds from now
   */
  public static ConfigLogReader ofAll(LogService log, long timeoutMillis) {
    return new ConfigLogReader(log, timeoutMillis, true);
  }

  /**
   * Reads to the end of the log and passes the decision on each record to the listener, in the
   * order of reading. A record that was passed as UNDECIDED may be passed again, after a Snapshot
   * has supplied the state before it.
   *
   * @throws TanagerException if the log could not be read before the deadline, or contains a record
   *     of a format version that this process does not support
   */
  public void readToEnd(Consumer<RecordDecision> listener) throws InterruptedException {
    do {
      try {
        follower.readPage(0).forEach(listener);
        retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
      } catch (TanagerException e) {
        backOff(e);
      }
      if (replica.isStalled()) {
        throw TanagerException.notRun(
            ErrorCode.PLATFORM_ERROR,
            "the record at offset "
                + replica.position()
                + " has an unsupported format version; use a newer version of tanagerbank");
      }
    } while (!follower.isAtEnd());
  }

  /**
   * Reads to the end of the log like {@link #readToEnd}, and then requires that the revision in
   * force is known.
   */
  void readKnownState(Consumer<RecordDecision> listener) throws InterruptedException {
    readToEnd(listener);
    requireKnownState();
  }

  /**
   * Requires that the records read so far determine the revision in force.
   *
   * @throws TanagerException with code {@code NO_CONFIGURATION} if they do not
   */
  void requireKnownState() {
    if (!replica.isFollowing()) {
      throw TanagerException.notRun(
          ErrorCode.NO_CONFIGURATION,
          "the log begins at offset "
              + follower.firstRetained()
              + " and contains no snapshot that determines the revision in force");
    }
  }

  /**
   * Waits before a failed call is retried, and doubles the next wait up to a limit.
   *
   * @throws TanagerException the given failure, if the deadline has passed
   */
  void backOff(TanagerException failure) throws InterruptedException {
    checkDeadline(failure);
    TimeUnit.MILLISECONDS.sleep(Math.max(retryDelayMillis, 1));
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
  }

  void checkDeadline(TanagerException failure) {
    if (System.nanoTime() - deadlineNanos >= 0) {
      throw failure;
    }
  }

  /** Returns the replica to which the records read so far were applied. */
  public ConfigReplica replica() {
    return replica;
  }
}
