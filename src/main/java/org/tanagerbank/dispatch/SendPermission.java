package org.tanagerbank.dispatch;

import java.util.OptionalLong;
import org.tanagerbank.upstream.UpstreamNotice;

/**
 * Whether requests may be sent to a process now, by what it said of itself in its responses.
 *
 * <p>Each pause that the process asked for is kept to its end: a later response never shortens one.
 * A process that leaves does not come back. Not thread-safe; confined to the event loop.
 */
final class SendPermission {
  private boolean isLeaving;
  private long pausedUntilMillis = Long.MIN_VALUE;

  /** Records what a response of the process says. */
  void record(UpstreamNotice notice, long nowMillis) {
    isLeaving |= notice.isLeaving();
    if (notice.pauseMillis().isPresent()) {
      pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + notice.pauseMillis().getAsLong());
    }
  }

  /** Returns whether the process said that it is shutting down. */
  boolean isLeaving() {
    return isLeaving;
  }

  /** Returns the end of the current pause, or empty if there is none. */
  OptionalLong pausedUntilMillis(long nowMillis) {
    return isPaused(nowMillis) ? OptionalLong.of(pausedUntilMillis) : OptionalLong.empty();
  }

  boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }
}
