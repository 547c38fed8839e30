package org.tanagerbank.platform.standin;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tanagerbank.store.KeyedRecord;

/**
 * The records of a keyed topic, with offsets from 0 on. Not thread-safe.
 *
 * <p>Deleting old records only moves the first offset that can be read, because the newest record
 * of each key stays. All records are kept up to a limit beyond which the topic cannot be restored.
 */
final class StoreTopic {
  private static final int MAX_KEPT_RECORDS = 100_000;

  private record Entry(KeyedRecord keyed, long atNanos) {}

  private final List<Entry> entries = new ArrayList<>();

  /** The newest value of each key before the first entry that is kept. */
  private final TreeMap<String, KeyedRecord> dropped = new TreeMap<>();

  private long droppedCount;
  private long first;

  /** Appends a record and returns its offset. */
  long append(KeyedRecord keyed, long nowNanos) {
    entries.add(new Entry(keyed, nowNanos));
    if (entries.size() > MAX_KEPT_RECORDS) {
      List<Entry> oldest = entries.subList(0, MAX_KEPT_RECORDS / 2);
      oldest.forEach(e -> apply(e.keyed(), dropped));
      droppedCount += oldest.size();
      first = Math.max(first, droppedCount);
      oldest.clear();
    }
    return end() - 1;
  }

  private static void apply(KeyedRecord keyed, Map<String, KeyedRecord> newest) {
    if (keyed.value().isPresent()) {
      newest.put(keyed.key(), keyed);
    } else {
      newest.remove(keyed.key());
    }
  }

  /** Returns the offset after the last record. */
  long end() {
    return droppedCount + entries.size();
  }

  /** Returns the first offset that can be read. */
  long first() {
    return first;
  }

  /** Returns the records from an offset on, or nothing if the topic does not have the offset. */
  Optional<ImmutableList<KeyedRecord>> read(long from) {
    if (from < first || from > end()) {
      return Optional.empty();
    }
    return Optional.of(
        entries.subList((int) (from - droppedCount), entries.size()).stream()
            .map(Entry::keyed)
            .collect(ImmutableList.toImmutableList()));
  }

  /** Returns the newest record of each key after a given key, in the order of the keys. */
  ImmutableList<KeyedRecord> newest(String after) {
    TreeMap<String, KeyedRecord> newest = new TreeMap<>(dropped);
    entries.forEach(e -> apply(e.keyed(), newest));
    return ImmutableList.copyOf(newest.tailMap(after, /* inclusive= */ after.isEmpty()).values());
  }

  /** Deletes the records before an offset, so that they cannot be read by their offsets. */
  void trim(long before) {
    first = Math.max(first, Math.min(before, end()));
  }

  /** Removes the records that were written at a time or later. */
  void restore(long atNanos) {
    entries.removeIf(e -> e.atNanos() >= atNanos);
    first = Math.min(first, end());
  }
}
