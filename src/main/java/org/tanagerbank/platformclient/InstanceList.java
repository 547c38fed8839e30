package org.tanagerbank.platformclient;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.request.TanagerException;

/**
 * The platform's list of instances, which lags behind the actual state. Implementations are
 * thread-safe.
 */
public interface InstanceList {
  /**
   * Returns the current list of the platform. Blocks until the platform has responded.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if the list cannot be read
   */
  ImmutableList<InstanceInfo> instances();
}
