package org.tanagerbank.http;

import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Runs callbacks of users of this package on I/O threads.
 *
 * <p>An unchecked exception that reaches HttpCore ends the I/O thread with all its connections, so
 * it is caught and logged here instead.
 */
final class CallbackRunner {
  private CallbackRunner() {}

  /** Runs an action; logs its exception, if any, with the description of the action. */
  static void run(String description, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, e, "action", description);
    }
  }
}
