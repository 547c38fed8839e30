package org.tanagerbank.dispatch;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tanagerbank.upstream.SendLimit;
import org.tanagerbank.upstream.UpstreamNotice;

/**
 * Whether requests may be sent to a process now, by what it said of itself in its responses.
 *
 * <p>Each pause that the process asked for is kept to its end: a later response never shortens one.
 * A process that leaves does not come back. The latest limit that it named bounds the rate. Not
 * thread-safe; confined to the event loop.
 */
final class SendPermission {
  private final LongSupplier wallClockMillis;
  private final Supplier<SendRate> newRate;
  private SendRate rate;
  private boolean isLeaving;
  private long pausedUntilMillis = Long.MIN_VALUE;

  /** The time of the latest response that said so, in milliseconds since the epoch. */
  private long leavingNoticedAtMillis;

  private long pauseNoticedAtMillis;
  private long limitNoticedAtMillis;

  /**
   * Creates a permission for a process that has said nothing yet.
   *
   * @param newRate creates the rate of a process that has named no limit
   */
  SendPermission(LongSupplier wallClockMillis, Supplier<SendRate> newRate) {
    this.wallClockMillis = wallClockMillis;
    this.newRate = newRate;
    this.rate = newRate.get();
  }

  /**
   * Returns the permission for the process that has followed under the same id and address. It may
   * have answered before its report arrived, so what was said since its start is its own.
   *
   * @param startedAtMillis the start of the process, in milliseconds since the epoch
   */
  SendPermission ofProcessStartedAt(long startedAtMillis) {
    SendPermission next = new SendPermission(wallClockMillis, newRate);
    if (isLeaving && leavingNoticedAtMillis >= startedAtMillis) {
      next.isLeaving = true;
      next.leavingNoticedAtMillis = leavingNoticedAtMillis;
    }
    if (pauseNoticedAtMillis >= startedAtMillis) {
      next.pausedUntilMillis = pausedUntilMillis;
      next.pauseNoticedAtMillis = pauseNoticedAtMillis;
    }
    if (limitNoticedAtMillis >= startedAtMillis) {
      next.rate = rate;
      next.limitNoticedAtMillis = limitNoticedAtMillis;
    }
    return next;
  }

  /**
   * Records what a response of the process says.
   *
   * @param sentAtMillis the time at which the request was sent to which the response came
   */
  void record(UpstreamNotice notice, long sentAtMillis, long nowMillis) {
    notice.limit().ifPresent(l -> rate.record(l, sentAtMillis, nowMillis));
    if (notice.limit().map(SendLimit::isLimited).orElse(false)) {
      limitNoticedAtMillis = wallClockMillis.getAsLong();
    }
    if (notice.isLeaving()) {
      isLeaving = true;
      leavingNoticedAtMillis = wallClockMillis.getAsLong();
    }
    if (notice.pauseMillis().isPresent()) {
      pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + notice.pauseMillis().getAsLong());
      pauseNoticedAtMillis = wallClockMillis.getAsLong();
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

  /** Returns the rate at which the process takes requests of this instance. */
  SendRate rate() {
    return rate;
  }

  boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }
}
