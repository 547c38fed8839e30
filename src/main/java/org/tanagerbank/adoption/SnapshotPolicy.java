package org.tanagerbank.adoption;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.tanagerbank.adoption.ConfigRecord.Snapshot;

/**
 * Decides when an entry appends a Snapshot, so that a reader without state always finds a place to
 * start within the retained log.
 *
 * <p>A Snapshot is due when the latest such place is past half of the retention, or many records
 * back. The entry that ranks first by rendezvous hashing appends it; the others follow one step
 * later each, in case those before them are dead but still listed. Two Snapshots do no harm.
 * Immutable and thread-safe.
 */
public final class SnapshotPolicy {
  private static final HashFunction HASH = Hashing.murmur3_128(0x7a70);

  /** Steps in the second half of the retention; the last entry is still well before its end. */
  private static final int STEPS = 16;

  /** After an outage all entries may be overdue at once; this lets the first one be seen. */
  private static final long SPACING_MILLIS = 1_000;

  /** Bounds what a starting process has to read; at 35,000 changes a day it makes 35 snapshots. */
  public static final int MAX_RECORDS_BEHIND = 1_000;

  private static final int RANK_RECORDS = 32;

  private final long retentionMillis;

  /** Creates a policy for a log that keeps records for a time. */
  public SnapshotPolicy(long retentionMillis) {
    checkArgument(retentionMillis >= STEPS, "retention is too short: %s", retentionMillis);
    this.retentionMillis = retentionMillis;
  }

  /**
   * Returns whether this entry should append a Snapshot now.
   *
   * @param replica a reader that has reached the end of the log
   * @param firstRetained the oldest offset retained
   * @param rank this entry's rank, from {@link #rank}
   * @param readableSinceMillis when the first read after the start or an outage succeeded
   * @param nowMillis the time in milliseconds since the epoch
   */
  public boolean isDue(
      ConfigReplica replica,
      long firstRetained,
      int rank,
      long readableSinceMillis,
      long nowMillis) {
    boolean ready = replica.isFollowing() && !replica.isStalled();
    if (!ready || nowMillis < readableSinceMillis + rank * SPACING_MILLIS) {
      return false;
    }
    AnchorTracker anchors = replica.anchors();
    if (anchors.offset() < firstRetained) {
      return true;
    }
    if (anchors.timeMillis() == 0) {
      // No record at the place yet: nothing that could expire.
      return false;
    }
    long step = Math.min(rank, STEPS - 1) * (retentionMillis / 2 / STEPS);
    long behind = replica.position() - anchors.offset();
    return nowMillis - anchors.timeMillis() >= retentionMillis / 2 + step
        || behind > MAX_RECORDS_BEHIND + (long) Math.min(rank, STEPS) * RANK_RECORDS
        || isInOlderHalf(anchors.offset(), firstRetained, replica.position(), rank);
  }

  /** A log that also limits the number of records can drop them before their time. */
  private static boolean isInOlderHalf(long anchor, long first, long end, int rank) {
    long retained = end - first;
    return first > 1 && anchor - first < retained / 2 - rank * (retained / 2 / STEPS);
  }

  /** Returns the Snapshot to append. */
  public static Snapshot snapshot(ConfigReplica replica) {
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
   * Returns how many live entries rank before one in rendezvous order.
   *
   * @param self the id of the entry; it need not be in the list
   * @param entries the ids of the live entries
   * @param anchor the place to be replaced, so that the order differs from one time to the next
   */
  public static int rank(String self, Collection<String> entries, long anchor) {
    long own = score(self, anchor);
    return (int)
        entries.stream()
            .filter(id -> !id.equals(self))
            .filter(id -> Long.compareUnsigned(score(id, anchor), own) > 0)
            .count();
  }

  private static long score(String id, long anchor) {
    return HASH.newHasher().putLong(anchor).putString(id, StandardCharsets.UTF_8).hash().asLong();
  }
}
