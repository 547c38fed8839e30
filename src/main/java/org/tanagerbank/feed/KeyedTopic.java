package org.tanagerbank.feed;

import java.util.function.Consumer;

/**
 * A topic of keyed records on the platform's store.
 *
 * <p>Each call tells its callback one result, on the event loop of the store's client.
 */
public interface KeyedTopic {
  /** Reads the newest record of each key. */
  void newest(Consumer<ReadResult> callback);

  /**
   * Reads records from an offset.
   *
   * @param waitMillis how long the store may wait for a record before it answers with none
   */
  void read(long from, long waitMillis, Consumer<ReadResult> callback);

  /** Appends one record; the callback is told whether the store confirmed it. */
  void append(KeyedRecord record, Consumer<Boolean> callback);
}
