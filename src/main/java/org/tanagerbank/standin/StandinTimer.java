package org.tanagerbank.standin;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.request.Lifecycle;

/** Runs the delayed actions of a stand-in on one thread. Thread-safe. */
public final class StandinTimer implements Lifecycle {
  private final ScheduledThreadPoolExecutor executor;

  /** Creates a timer whose thread has a name. */
  public StandinTimer(String name) {
    executor =
        new ScheduledThreadPoolExecutor(
            1, new ThreadFactoryBuilder().setNameFormat(name + "-%d").setDaemon(true).build());
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public void start() {
    executor.prestartCoreThread();
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  /**
   * Runs an action after a delay; immediately on the calling thread if the delay is not positive.
   */
  public void runAfter(long millis, Runnable action) {
    if (millis <= 0) {
      action.run();
      return;
    }
    try {
      var unused = executor.schedule(loggingFailures(action), millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The stand-in has stopped and has closed its connections.
    }
  }

  /** Runs an action periodically, with a fixed delay after each run. */
  void runPeriodically(long millis, Runnable action) {
    var unused =
        executor.scheduleWithFixedDelay(
            loggingFailures(action), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static Runnable loggingFailures(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, e, "error", e);
      }
    };
  }
}
