package org.tanagerbank.configreplica;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Provides the configuration in force and notifies listeners of changes.
 *
 * <p>The revision never decreases. Implementations are thread-safe.
 */
public interface ConfigSource {
  /** Returns the configuration in force; empty before the first one was adopted. */
  Optional<AdoptedConfig> current();

  /**
   * Calls the listener with the configuration in force, if there is one, and then with each new
   * configuration, in order and never concurrently.
   */
  void subscribe(Consumer<AdoptedConfig> listener);
}
