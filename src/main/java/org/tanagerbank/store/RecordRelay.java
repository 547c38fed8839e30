package org.tanagerbank.store;

import java.util.Optional;
import java.util.function.Consumer;

/** Requests the records of a topic that another instance has already read from the store. */
@FunctionalInterface
public interface RecordRelay {
  /** A relay without other instances: each question is answered with nothing at once. */
  RecordRelay NONE = (from, callback) -> callback.accept(Optional.empty());

  /**
   * Requests the records from an offset on.
   *
   * @param callback called once, with nothing when no other instance could provide the records
   */
  void requestRecords(long from, Consumer<Optional<RelayedRecords>> callback);
}
