package org.tanagerbank.dispatch;

import java.util.ArrayList;
import java.util.List;
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

  /**
   * The time, in milliseconds since the epoch, at which the latest of the connections was opened
   * whose responses said so. The process that said it had started by then.
   */
  private long leavingConnectedAtMillis = Long.MIN_VALUE;

  private long limitConnectedAtMillis = Long.MIN_VALUE;

  /** The pauses that no other one covers, which outlasts it and was named on a later connection. */
  private final List<Pause> pauses = new ArrayList<>();

  private record Pause(long connectedAtMillis, long untilMillis) {
    boolean covers(Pause other) {
      return connectedAtMillis >= other.connectedAtMillis && untilMillis >= other.untilMillis;
    }
  }

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
   * have answered before its report arrived, so what was said on connections that were opened since
   * its start is its own. The other process may have answered later than that too.
   *
   * @param startedAtMillis the start of the process, in milliseconds since the epoch
   */
  SendPermission ofProcessStartedAt(long startedAtMillis) {
    SendPermission next = new SendPermission(wallClockMillis, newRate);
    if (isLeaving && leavingConnectedAtMillis >= startedAtMillis) {
      next.isLeaving = true;
      next.leavingConnectedAtMillis = leavingConnectedAtMillis;
    }
    pauses.stream().filter(p -> p.connectedAtMillis >= startedAtMillis).forEach(next::addPause);
    if (limitConnectedAtMillis >= startedAtMillis) {
      next.rate = rate;
      rate = newRate.get();
      next.limitConnectedAtMillis = limitConnectedAtMillis;
    }
    return next;
  }

  /**
   * Records what a response of the process says.
   *
   * @param openedAtMillis the time at which the connection was opened on which the response came
   * @param sentAtMillis the time at which the request was sent to which the response came
   */
  void record(UpstreamNotice notice, long openedAtMillis, long sentAtMillis, long nowMillis) {
    long connectedAtMillis = epochMillis(openedAtMillis, nowMillis);
    notice.limit().ifPresent(l -> rate.record(l, sentAtMillis, nowMillis));
    if (notice.limit().map(SendLimit::isLimited).orElse(false)) {
      limitConnectedAtMillis = Math.max(limitConnectedAtMillis, connectedAtMillis);
    }
    if (notice.isLeaving()) {
      isLeaving = true;
      leavingConnectedAtMillis = Math.max(leavingConnectedAtMillis, connectedAtMillis);
    }
    if (notice.pauseMillis().isPresent()) {
      pauses.removeIf(p -> p.untilMillis <= nowMillis);
      addPause(new Pause(connectedAtMillis, nowMillis + notice.pauseMillis().getAsLong()));
    }
  }

  private void addPause(Pause pause) {
    pausedUntilMillis = Math.max(pausedUntilMillis, pause.untilMillis);
    if (pauses.stream().noneMatch(p -> p.covers(pause))) {
      pauses.removeIf(pause::covers);
      pauses.add(pause);
    }
  }

  /** Returns a time of the monotonic clock in milliseconds since the epoch. */
  long epochMillis(long monotonicMillis, long nowMillis) {
    return wallClockMillis.getAsLong() - (nowMillis - monotonicMillis);
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
