package org.tanagerbank.feed;

import com.google.common.collect.ImmutableList;

/** Is told what a topic holds. All calls come on one thread. */
public interface TopicListener {
  /** Called with the newest record of every key; keys that are missing no longer exist. */
  void snapshot(ImmutableList<KeyedRecord> records);

  /** Called with records in the order in which they were written. */
  void records(ImmutableList<KeyedRecord> records);

  /**
   * Called when everything written up to a time is known.
   *
   * @param atMillis the time, by the local steady clock
   */
  void currentAsOf(long atMillis);

  /** Called when the store stops answering. */
  void lost(String reason);

  /**
   * Called when the store answers again, before what it says is passed on.
   *
   * @param atMillis since when it answers, by the local steady clock
   */
  void regained(long atMillis);
}
