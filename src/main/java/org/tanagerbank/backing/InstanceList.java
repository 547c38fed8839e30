package org.tanagerbank.backing;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.machine.InstanceInfo;

/** The platform's lagging list of instances. Implementations are thread-safe. */
public interface InstanceList {
  /**
   * Returns the list as the platform sees it now. Blocks for one call.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} when the list cannot be read
   */
  ImmutableList<InstanceInfo> instances();
}
