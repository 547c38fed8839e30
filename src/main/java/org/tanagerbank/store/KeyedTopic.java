package org.tanagerbank.store;

import java.util.function.Consumer;

/**
 * A topic of keyed records on the platform's store.
 *
 * <p>Each method calls its callback once, on the event loop of the client of the store; so it does
 * with a receiver.
 */
public interface KeyedTopic {
  /** Reads the newest record of each key that exists. */
  void readNewest(Consumer<ReadResult> callback);

  /**
   * Reads records from a position on.
   *
   * @param from the position before the first record to read
   * @param waitMillis the time in milliseconds that the store may wait for a record before it
   *     answers without records
   */
  void read(TopicPosition from, long waitMillis, Consumer<ReadResult> callback);

  /** Reads all records that the store still has, the oldest first. */
  void readHistory(HistoryReceiver receiver);

  /** Appends a record. The callback gets whether the store confirmed the record. */
  void append(KeyedRecord record, Consumer<Boolean> callback);
}
