package org.tanagerbank.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import sun.misc.Signal;

/**
 * Handles the signals that stop a process or reload its settings, in any order and number.
 *
 * <p>The first SIGTERM or SIGINT requests the stop; later ones are logged and change nothing. No
 * thread is interrupted, so a signal cannot end a wait of a stop that has begun. The JVM calls the
 * handlers on a new thread for each signal; at most one reload runs and one more waits.
 * Thread-safe.
 */
final class ProcessSignals {
  private static final long NOT_REQUESTED = Long.MIN_VALUE;

  private final Runnable reloadAction;
  private final CountDownLatch stopRequested = new CountDownLatch(1);
  private final AtomicLong stopRequestedAtNanos = new AtomicLong(NOT_REQUESTED);
  private final AtomicBoolean isReloadPending = new AtomicBoolean();

  private ProcessSignals(Runnable reloadAction) {
    this.reloadAction = reloadAction;
  }

  /** Sets the handlers, which stay until the process ends, in place of the default actions. */
  static ProcessSignals handle(Runnable reloadAction) {
    ProcessSignals signals = new ProcessSignals(reloadAction);
    Signal.handle(new Signal("TERM"), signals::requestStop);
    Signal.handle(new Signal("INT"), signals::requestStop);
    Signal.handle(new Signal("HUP"), signals::reload);
    return signals;
  }

  private void requestStop(Signal signal) {
    boolean isFirst = stopRequestedAtNanos.compareAndSet(NOT_REQUESTED, System.nanoTime());
    log(signal, isFirst ? "STOP" : "NONE");
    stopRequested.countDown();
  }

  private void reload(Signal signal) {
    log(signal, "RELOAD");
    if (isReloadPending.compareAndSet(false, true)) {
      reloadOnce();
    }
  }

  private synchronized void reloadOnce() {
    // A signal that arrives from here on may have been sent after the settings were read.
    isReloadPending.set(false);
    reloadAction.run();
  }

  private static void log(Signal signal, String action) {
    EventLog.emit(LogEvent.SIGNAL_RECEIVED, "signal", "SIG" + signal.getName(), "action", action);
  }

  boolean isStopRequested() {
    return stopRequested.getCount() == 0;
  }

  /** Waits until the process is to stop. */
  void awaitStop() throws InterruptedException {
    stopRequested.await();
  }

  /** Returns the time since the first request to stop, which must have arrived. */
  long millisSinceStopRequest() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopRequestedAtNanos.get());
  }
}
