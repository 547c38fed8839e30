package org.tanagerbank.contract;

/**
 * Something that owns threads, sockets or timers between {@link #start} and {@link #stop}.
 *
 * <p>Both methods are called once, in that order. {@link #stop} returns when everything owned has
 * been released, and does nothing when {@link #start} was never called.
 */
public interface Lifecycle {
  /**
   * Acquires what this object owns and begins its work.
   *
   * @throws TanagerException if a resource cannot be acquired, for example a port in use
   */
  void start();

  /** Ends the work and releases what this object owns. */
  void stop();
}
