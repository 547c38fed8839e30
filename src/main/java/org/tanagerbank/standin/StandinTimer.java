package org.tanagerbank.standin;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/** One thread that runs the delayed actions of a stand-in. Thread-safe. */
final class StandinTimer implements Lifecycle {
  private final ScheduledThreadPoolExecutor executor;

  StandinTimer(String name) {
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

  /** Runs an action after a time; at once, on the calling thread, when the time is 0. */
  void after(long millis, Runnable action) {
    if (millis <= 0) {
      action.run();
      return;
    }
    try {
      var unused = executor.schedule(guarded(action), millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The stand-in has stopped; its connections are closed.
    }
  }

  /** Runs an action again and again, with a pause after each run. */
  void every(long millis, Runnable action) {
    var unused =
        executor.scheduleWithFixedDelay(guarded(action), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static Runnable guarded(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, e, "error", e);
      }
    };
  }
}
