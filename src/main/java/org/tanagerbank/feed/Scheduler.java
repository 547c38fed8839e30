package org.tanagerbank.feed;

/** Runs tasks later, on one thread. */
@FunctionalInterface
public interface Scheduler {
  /** Runs a task after a delay. */
  void schedule(Runnable task, long delayMillis);
}
