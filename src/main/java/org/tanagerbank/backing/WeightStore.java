package org.tanagerbank.backing;

import org.tanagerbank.contract.TanagerException;

/** The platform's rate-limited store of model weights. Implementations are thread-safe. */
public interface WeightStore {
  /**
   * Reads the weights of a model's version and returns their size in bytes. Blocks until they have
   * arrived.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR}; it carries the store's own retry
   *     time when the store was over its rate
   */
  long load(String model, String version);
}
