package org.tanagerbank.feed;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.primitives.Ints;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The latest records of a topic with their offsets, for instances that lack a few of them.
 *
 * <p>Holds the records from {@code first} to before {@code next} without a gap. Not thread-safe.
 */
final class RecordHistory {
  /** More than an instance lacks that asked a moment ago. */
  private static final int MAX_RECORDS = 200;

  /** The records of one answer, which must fit a datagram that networks pass on whole. */
  private static final int MAX_SLICE_BYTES = 1_000;

  /** What the encoding adds to a record. */
  private static final int BYTES_PER_RECORD = 8;

  private final Deque<KeyedRecord> records = new ArrayDeque<>();
  private long first;
  private long next;

  /**
   * A part of the history.
   *
   * @param next the offset after the records
   * @param hasMore whether further records are held
   */
  record Slice(ImmutableList<KeyedRecord> records, long next, boolean hasMore) {}

  /** Begins anew, with nothing known before an offset. */
  void restart(long offset) {
    records.clear();
    first = offset;
    next = offset;
  }

  /** Adds the records that were read from {@code next} on. */
  void add(ImmutableList<KeyedRecord> added, long newNext) {
    boolean hasUnreadable = newNext - next != added.size();
    if (hasUnreadable) {
      // Offsets cannot be told apart any more.
      restart(newNext);
      return;
    }
    records.addAll(added);
    next = newNext;
    while (records.size() > MAX_RECORDS) {
      records.removeFirst();
      first++;
    }
  }

  /** Returns the records from an offset, or nothing when some of them are not held. */
  Optional<Slice> since(long from) {
    if (from < first) {
      return Optional.empty();
    }
    ImmutableList.Builder<KeyedRecord> slice = ImmutableList.builder();
    long end = from;
    int bytes = 0;
    for (KeyedRecord keyed : Iterables.skip(records, Ints.saturatedCast(from - first))) {
      bytes += keyed.key().length() + keyed.value().map(v -> v.length).orElse(0) + BYTES_PER_RECORD;
      if (bytes > MAX_SLICE_BYTES) {
        break;
      }
      slice.add(keyed);
      end++;
    }
    boolean tooLarge = end == from && end < next;
    return tooLarge ? Optional.empty() : Optional.of(new Slice(slice.build(), end, end < next));
  }
}
