package org.tanagerbank.dispatch;

import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.upstream.SendLimit;
import org.tanagerbank.upstream.UpstreamNotice;

/**
 * Logs what changes in the permission to send to a process by what it says of itself. Immutable;
 * the permission is confined to the event loop.
 *
 * @param wasLimited whether the process had named a limit before
 * @param wasLeaving whether it had said that it shuts down
 * @param wasPaused whether it had asked for a pause that was not over
 */
record NoticeLog(boolean wasLimited, boolean wasLeaving, boolean wasPaused) {
  /** Returns the log of the changes from now on. */
  static NoticeLog of(SendPermission permission, long nowMillis) {
    return new NoticeLog(
        permission.rate().isLimited(), permission.isLeaving(), permission.isPaused(nowMillis));
  }

  /** Logs the changes by a notice that was recorded. */
  void logChanges(
      String upstreamId, SendPermission permission, UpstreamNotice notice, long nowMillis) {
    boolean isLimited = permission.rate().isLimited();
    if (isLimited != wasLimited) {
      EventLog.emit(
          isLimited ? LogEvent.UPSTREAM_LIMITED : LogEvent.UPSTREAM_UNLIMITED,
          "upstream",
          upstreamId,
          "requestsPerSecond",
          notice.limit().map(SendLimit::requestsPerSecond).orElse(Double.NaN));
    }
    if (permission.isLeaving() && !wasLeaving) {
      EventLog.emit(LogEvent.UPSTREAM_LEAVING, "upstream", upstreamId);
    }
    if (permission.isPaused(nowMillis) && !wasPaused) {
      EventLog.emit(
          LogEvent.UPSTREAM_PAUSED,
          "upstream",
          upstreamId,
          "pauseMillis",
          notice.pauseMillis().orElse(0));
    }
  }
}
