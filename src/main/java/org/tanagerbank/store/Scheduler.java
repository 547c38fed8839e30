package org.tanagerbank.store;

/** Runs tasks after a delay, all on the same thread. */
@FunctionalInterface
public interface Scheduler {
  /** Runs a task once after a delay in milliseconds. */
  void schedule(Runnable task, long delayMillis);
}
