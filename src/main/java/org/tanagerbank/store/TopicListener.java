package org.tanagerbank.store;

import com.google.common.collect.ImmutableList;

/**
 * Receives the records of a topic and the availability of the store. All methods are called on one
 * thread.
 */
public interface TopicListener {
  /** Called with the newest record of every key. Keys without a record no longer exist. */
  void onSnapshot(ImmutableList<KeyedRecord> records);

  /** Called with records in the order in which they were written. */
  void onRecords(ImmutableList<KeyedRecord> records);

  /**
   * Called when all records written up to a time have been passed to this listener.
   *
   * @param atMillis the time in milliseconds of the local steady clock
   */
  void onCurrentAsOf(long atMillis);

  /**
   * Called when the store stops answering.
   *
   * @param reason the reason, for the log
   */
  void onStoreLost(String reason);

  /**
   * Called when the store answers again, before the records of its answer are passed on.
   *
   * @param atMillis the time since which the store answers, in milliseconds of the local steady
   *     clock
   */
  void onStoreRegained(long atMillis);
}
