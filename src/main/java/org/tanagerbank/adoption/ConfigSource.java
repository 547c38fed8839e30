package org.tanagerbank.adoption;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Gives the configuration in force and tells of each change.
 *
 * <p>Revisions never decrease. Implementations are thread-safe.
 */
public interface ConfigSource {
  /** Returns the configuration in force; empty before the first was adopted. */
  Optional<AdoptedConfig> current();

  /**
   * Calls the listener with the configuration in force, if any, and then once for each later
   * change, in order and never concurrently.
   */
  void subscribe(Consumer<AdoptedConfig> listener);
}
