package org.tanagerbank.store;

import com.google.common.collect.ImmutableList;

/** The result of reading a topic. Implementations are immutable. */
public sealed interface ReadResult {
  /**
   * The records that were read.
   *
   * @param records the records in the order of their offsets for a read from an offset; empty when
   *     nothing was written while the call waited
   * @param next the position at which the next read begins
   * @param hasMore whether the topic had further records when the store answered
   */
  record Records(ImmutableList<KeyedRecord> records, TopicPosition next, boolean hasMore)
      implements ReadResult {}

  /** The store has deleted the requested records; the newest of each key must be read instead. */
  record Trimmed() implements ReadResult {}

  /**
   * The store was restored from an older copy, so the requested position has lost its meaning; the
   * newest record of each key must be read instead.
   *
   * @param era the era that the restore began
   */
  record Restored(long era) implements ReadResult {}

  /**
   * The store did not answer, or its answer could not be used.
   *
   * @param reason the reason, for the log
   */
  record Unavailable(String reason) implements ReadResult {}
}
