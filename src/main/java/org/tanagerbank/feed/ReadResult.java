package org.tanagerbank.feed;

import com.google.common.collect.ImmutableList;

/** The outcome of reading a topic. Implementations are immutable. */
public sealed interface ReadResult {
  /**
   * Records in the order in which they were written.
   *
   * @param records empty when nothing was written while the call waited
   * @param next where the next read begins
   */
  record Records(ImmutableList<KeyedRecord> records, long next) implements ReadResult {}

  /** The records asked for are no longer kept; the newest of each key have to be read instead. */
  record Trimmed() implements ReadResult {}

  /**
   * The store gave no usable answer.
   *
   * @param reason for the log
   */
  record Unavailable(String reason) implements ReadResult {}
}
