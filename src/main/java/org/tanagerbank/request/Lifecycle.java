package org.tanagerbank.request;

/**
 * An object that owns threads, sockets or timers between {@link #start} and {@link #stop}.
 *
 * <p>The owner calls each method once, in that order. {@link #stop} returns when all owned
 * resources have been released, and does nothing when {@link #start} was never called.
 */
public interface Lifecycle {
  /**
   * Acquires the resources of this object and starts its work.
   *
   * @throws TanagerException if a resource cannot be acquired, for example because a port is in use
   */
  void start();

  /** Stops the work and releases the resources of this object. */
  void stop();
}
