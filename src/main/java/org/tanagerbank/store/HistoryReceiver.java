package org.tanagerbank.store;

import com.google.common.collect.ImmutableList;

/**
 * Receives the records that a topic still has. Pages come first, then either {@link #onEnd} or
 * {@link #onFailure} is called once.
 */
public interface HistoryReceiver {
  /** Called with records in the order in which they were written. */
  void onPage(ImmutableList<KeyedRecord> records);

  /**
   * Called when all records have been passed on.
   *
   * @param isWhole whether these are all that were ever written, and the store lost none
   */
  void onEnd(boolean isWhole);

  /** Called when the store did not answer, with the reason for the log. */
  void onFailure(String reason);
}
