package org.tanagerbank.store;

import java.util.Optional;

/** The records of a topic that an instance has read, as it provides them to other instances. */
public interface TopicSource {
  /**
   * Returns the position up to which the topic was read, or nothing before the first snapshot and
   * after the position has lost its meaning.
   */
  Optional<TopicPosition> position();

  /**
   * Returns the records from a position on, as many as fit a datagram, or nothing if not all of
   * them are available or the first one does not fit.
   */
  Optional<RelayedRecords> recordsFrom(TopicPosition from);

  /** Returns the one record at a position, whatever its size, or nothing if it is not available. */
  Optional<RelayedRecords> recordAt(TopicPosition at);

  /**
   * Called when another instance is in an era of the store. It may have learned of a restore first.
   */
  void onPeerEra(long era);
}
