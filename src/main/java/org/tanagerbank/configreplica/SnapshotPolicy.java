package org.tanagerbank.configreplica;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.tanagerbank.configreplica.ConfigRecord.Snapshot;

/**
 * Decides when an entry appends a Snapshot, so that a reader without state always finds a start
 * point within the retained records.
 *
 * <p>A Snapshot is due if the latest start point is older than half of the retention, or many
 * records back. The entry that ranks first by rendezvous hashing appends it. Each further entry
 * waits one step longer, in case the entries ranked before it are dead but still listed. Two
 * Snapshots do no harm.
 *
 * <p>Immutable and thread-safe.
 */
public final class SnapshotPolicy {
  private static final HashFunction HASH = Hashing.murmur3_128(0x7a70);

  /**
   * The number of steps into which the second half of the retention is divided. Entries of the last
   * ranks wait 15 of the 16 steps, so that they append well before the retention ends.
   */
  private static final int DELAY_STEPS = 16;

  /**
   * The additional wait per rank after the log has become readable. After an outage, a Snapshot may
   * be overdue for all entries at once; the wait lets the others read the Snapshot of the first one
   * before they append their own.
   */
  private static final long RANK_DELAY_MILLIS = 1_000;

  /**
   * The number of records after the start point at which a Snapshot is due. It limits how many
   * records a starting process has to read, and leads to 35 snapshots a day at 35,000 changes a
   * day.
   */
  public static final int MAX_REPLAY_RECORDS = 1_000;

  /** The number of additional records after which an entry of the next rank appends a Snapshot. */
  private static final int RECORDS_PER_RANK = 32;

  private final long retentionMillis;

  /**
   * Creates a policy.
   *
   * @param retentionMillis how long the log retains a record, in milliseconds
   */
  public SnapshotPolicy(long retentionMillis) {
    checkArgument(
        retentionMillis >= DELAY_STEPS,
        "retentionMillis must be at least %s: %s",
        DELAY_STEPS,
        retentionMillis);
    this.retentionMillis = retentionMillis;
  }

  /**
   * Returns whether this entry should append a Snapshot now.
   *
   * @param replica a reader that has reached the end of the log
   * @param firstRetained the oldest offset that the log retains
   * @param rank the rank of this entry, as {@link #rank} returns it
   * @param readableSinceMillis when this process started or the log became readable after the last
   *     outage, in milliseconds since the epoch
   * @param nowMillis the current time in milliseconds since the epoch
   */
  public boolean isDue(
      ConfigReplica replica,
      long firstRetained,
      int rank,
      long readableSinceMillis,
      long nowMillis) {
    boolean isReady = replica.isFollowing() && !replica.isStalled();
    if (!isReady || nowMillis < readableSinceMillis + rank * RANK_DELAY_MILLIS) {
      return false;
    }
    StartPointTracker startPoint = replica.startPoint();
    if (startPoint.offset() < firstRetained) {
      return true;
    }
    if (startPoint.timeMillis() == 0) {
      // There is no record at the start point yet, so nothing that a new reader needs can expire.
      return false;
    }
    long rankDelayMillis = Math.min(rank, DELAY_STEPS - 1) * (retentionMillis / 2 / DELAY_STEPS);
    long recordsSinceStart = replica.position() - startPoint.offset();
    return nowMillis - startPoint.timeMillis() >= retentionMillis / 2 + rankDelayMillis
        || recordsSinceStart
            > MAX_REPLAY_RECORDS + (long) Math.min(rank, DELAY_STEPS) * RECORDS_PER_RANK
        || isInOlderHalf(startPoint.offset(), firstRetained, replica.position(), rank);
  }

  /**
   * Returns whether the start point is in the older half of the retained records, less one step for
   * each rank. A log that also limits the number of records can drop them before the retention
   * ends.
   */
  private static boolean isInOlderHalf(long startOffset, long first, long end, int rank) {
    long retained = end - first;
    return first > 1 && startOffset - first < retained / 2 - rank * (retained / 2 / DELAY_STEPS);
  }

  /** Returns a Snapshot of the state of a replica, which must be following the log. */
  public static Snapshot createSnapshot(ConfigReplica replica) {
    AcceptedText text = replica.inForce();
    return new Snapshot(
        text.revision(),
        text.publishId(),
        text.operator(),
        text.publishedAtMillis(),
        text.text(),
        replica.position() - 1);
  }

  /**
   * Returns the rank of an entry: how many live entries precede it in the order of rendezvous
   * hashing.
   *
   * @param entryId the id of the entry, which need not be among the live entries
   * @param liveEntryIds the ids of the live entries
   * @param startOffset the offset of the start point that the next Snapshot replaces; it is part of
   *     the hash, so that the order differs from one Snapshot to the next
   */
  public static int rank(String entryId, Collection<String> liveEntryIds, long startOffset) {
    long ownScore = score(entryId, startOffset);
    return (int)
        liveEntryIds.stream()
            .filter(id -> !id.equals(entryId))
            .filter(id -> Long.compareUnsigned(score(id, startOffset), ownScore) > 0)
            .count();
  }

  private static long score(String id, long startOffset) {
    return HASH.newHasher()
        .putLong(startOffset)
        .putString(id, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
