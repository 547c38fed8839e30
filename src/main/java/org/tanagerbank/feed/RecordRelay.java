package org.tanagerbank.feed;

import java.util.Optional;
import java.util.function.Consumer;

/** A way to learn from another instance what it has read of a topic. */
@FunctionalInterface
public interface RecordRelay {
  /** Leads to no other instance. */
  RecordRelay NONE = (from, callback) -> callback.accept(Optional.empty());

  /**
   * Asks for the records from an offset.
   *
   * @param callback told once, with nothing when no other instance could tell
   */
  void ask(long from, Consumer<Optional<RelayedRead>> callback);
}
