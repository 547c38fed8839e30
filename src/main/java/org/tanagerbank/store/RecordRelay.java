package org.tanagerbank.store;

import java.util.Optional;
import java.util.function.Consumer;

/** Requests the records of a topic that another instance has already read from the store. */
@FunctionalInterface
public interface RecordRelay {
  /** Which instances are asked. */
  enum Respondents {
    /** The few that read the store for all. A reader asks nobody. */
    READERS,
    /** Any live instance, another one for each question, because the own store does not answer. */
    ALL
  }

  /** A relay without other instances: each question is answered with nothing at once. */
  RecordRelay NONE = (from, respondents, callback) -> callback.accept(Optional.empty());

  /**
   * Requests the records from a position on.
   *
   * @param callback called once, with nothing when no other instance could provide the records
   */
  void requestRecords(
      TopicPosition from, Respondents respondents, Consumer<Optional<RelayedRecords>> callback);
}
