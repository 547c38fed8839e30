package org.tanagerbank.store;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.primitives.Ints;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The latest records of a topic with their offsets, for instances that lack only a few records.
 *
 * <p>Contains all records from offset {@code first}, inclusive, to {@code next}, exclusive, all of
 * one era, and at most {@link #MAX_RECORDS} records of {@link #MAX_BYTES} bytes together. Not
 * thread-safe.
 */
final class RecordHistory {
  /** More records than an instance misses between two of its questions. */
  static final int MAX_RECORDS = 200;

  /** A few records of the largest size that the store takes. */
  static final int MAX_BYTES = 1 << 20;

  /** Bounds the records of one answer, which must fit a datagram that networks do not fragment. */
  private static final int MAX_SLICE_BYTES = 1_000;

  /** The bytes that the encoding adds to the key and the value of a record. */
  private static final int OVERHEAD_BYTES_PER_RECORD = 8;

  private final Deque<KeyedRecord> records = new ArrayDeque<>();
  private long bytes;
  private long first;
  private TopicPosition next = new TopicPosition(0, 0);

  /**
   * Consecutive records of the history.
   *
   * @param records the records in the order of their offsets
   * @param next the position after the last of the records
   * @param hasMore whether the history contains further records
   */
  record Slice(ImmutableList<KeyedRecord> records, TopicPosition next, boolean hasMore) {}

  /** Removes all records; the history then starts at a position. */
  void restart(TopicPosition position) {
    records.clear();
    bytes = 0;
    first = position.offset();
    next = position;
  }

  /**
   * Adds the records that were read from the end of the history on.
   *
   * @param added the records that could be decoded
   * @param newNext the position after the last record read, in the era of the history
   */
  void add(ImmutableList<KeyedRecord> added, TopicPosition newNext) {
    boolean hasUnreadableRecords = newNext.offset() - next.offset() != added.size();
    if (hasUnreadableRecords) {
      // Records that could not be decoded are missing, so the offsets of the others are unknown.
      restart(newNext);
      return;
    }
    next = newNext;
    for (KeyedRecord keyed : added) {
      records.addLast(keyed);
      bytes += bytes(keyed);
    }
    while (records.size() > MAX_RECORDS || bytes > MAX_BYTES) {
      bytes -= bytes(records.removeFirst());
      first++;
    }
  }

  private static int bytes(KeyedRecord keyed) {
    return keyed.key().length()
        + keyed.value().map(v -> v.length).orElse(0)
        + OVERHEAD_BYTES_PER_RECORD;
  }

  /**
   * Returns the records from a position on, as many as fit one answer. Returns nothing when the
   * position is of another era or before the history, or when the first record alone is too large
   * for an answer.
   *
   * <p>A position after the end of the history has no records. Offsets only grow within an era, so
   * an instance that has read further lacks nothing that existed when the history was last known to
   * be complete.
   */
  Optional<Slice> since(TopicPosition from) {
    if (from.isAfter(next)) {
      return Optional.of(new Slice(ImmutableList.of(), next, false));
    }
    if (!isWithin(from)) {
      return Optional.empty();
    }
    ImmutableList.Builder<KeyedRecord> slice = ImmutableList.builder();
    int sliceBytes = 0;
    for (KeyedRecord keyed : startingAt(from)) {
      sliceBytes += bytes(keyed);
      if (sliceBytes > MAX_SLICE_BYTES) {
        break;
      }
      slice.add(keyed);
    }
    ImmutableList<KeyedRecord> fitting = slice.build();
    TopicPosition end = from.plus(fitting.size());
    boolean hasMore = next.isAfter(end);
    return hasMore && fitting.isEmpty()
        ? Optional.empty()
        : Optional.of(new Slice(fitting, end, hasMore));
  }

  /** Returns the one record at a position, or nothing when it is not in the history. */
  Optional<Slice> at(TopicPosition position) {
    if (!isWithin(position) || !next.isAfter(position)) {
      return Optional.empty();
    }
    KeyedRecord keyed = startingAt(position).iterator().next();
    TopicPosition end = position.plus(1);
    return Optional.of(new Slice(ImmutableList.of(keyed), end, next.isAfter(end)));
  }

  private boolean isWithin(TopicPosition position) {
    return position.era() == next.era()
        && position.offset() >= first
        && position.offset() <= next.offset();
  }

  private Iterable<KeyedRecord> startingAt(TopicPosition position) {
    return Iterables.skip(records, Ints.saturatedCast(position.offset() - first));
  }
}
