package org.tanagerbank.stream;

import java.util.Optional;
import java.util.function.Consumer;

/** Tells other instances where streams began, and asks them. Confined to one thread. */
public interface OriginNetwork {
  /** A network without other instances. */
  OriginNetwork NONE =
      new OriginNetwork() {
        @Override
        public void tell(String streamId, StreamOrigin origin) {}

        @Override
        public void ask(String streamId, Consumer<Optional<StreamOrigin>> callback) {
          callback.accept(Optional.empty());
        }
      };

  /** Tells some other instances where a stream began, so that they know it when this one ends. */
  void tell(String streamId, StreamOrigin origin);

  /**
   * Asks other instances where a stream began.
   *
   * @param callback called exactly once, with nothing if no instance knows it or answers in time
   */
  void ask(String streamId, Consumer<Optional<StreamOrigin>> callback);
}
