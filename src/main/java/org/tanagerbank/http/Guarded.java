package org.tanagerbank.http;

import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Runs actions of users of this package on I/O threads.
 *
 * <p>An unchecked exception that reaches HttpCore ends the I/O thread with all its connections, so
 * it is logged here instead.
 */
final class Guarded {
  private Guarded() {}

  /** Runs an action and logs its exception, if any. */
  static void run(String what, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, e, "action", what);
    }
  }
}
