package org.tanagerbank.platformclient;

import org.tanagerbank.request.TanagerException;

/** The platform's rate-limited store of model weights. Implementations are thread-safe. */
public interface WeightStore {
  /**
   * Loads the weights of a version of a model, and returns their size in bytes. Blocks until the
   * weights have arrived.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if the weights cannot be loaded; it
   *     contains the retry time that the store returned if its rate limit was exceeded
   */
  long load(String model, String version);
}
