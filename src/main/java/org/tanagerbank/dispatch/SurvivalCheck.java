package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.HttpConnection;
import org.tanagerbank.upstream.ProbeResult;

/**
 * Finds out whether the process of an upstream outlived a connection that it closed. A process that
 * ends closes its connections too, so only its survival proves that a response without a length or
 * chunks is complete.
 *
 * <p>A new connection shows that a process accepts at the address now. That it is the one that
 * closed the connection follows from another connection to it that stays open, or from the time,
 * which is too short for a restart. Not thread-safe; confined to the event loop.
 */
final class SurvivalCheck {
  /** What became of the process. */
  enum Result {
    SURVIVED,
    ENDED,
    /** Nothing answered in time, or another process may have the address by now. */
    UNKNOWN
  }

  /**
   * The shortest time in milliseconds from the end of a process to the moment at which another one
   * accepts connections at its address.
   */
  private static final long MIN_RESTART_MILLIS = 1_000;

  private final LongSupplier clockMillis;
  private final LoopContinuity continuity = new LoopContinuity();

  SurvivalCheck(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
  }

  /** Records that the event loop runs; must be called periodically. */
  void beat() {
    continuity.beat(clockMillis.getAsLong());
  }

  /**
   * Checks the process at the other end of a connection that has just been found closed.
   *
   * @param connections the connections to the upstream
   * @param closed the connection that was closed
   * @param callback receives the result, at the latest when the attempt to connect times out
   */
  void start(ConnectionPool connections, HttpConnection closed, Consumer<Result> callback) {
    long now = clockMillis.getAsLong();
    long lastOpenMillis = Math.min(closed.caughtUpMillis(now), continuity.caughtUpMillis(now));
    ImmutableList<HttpConnection> others = connections.openSince(lastOpenMillis);
    connections.probe(result -> callback.accept(judge(result, lastOpenMillis, others)));
  }

  private Result judge(
      ProbeResult probe, long lastOpenMillis, ImmutableList<HttpConnection> others) {
    return switch (probe) {
      case REFUSED -> Result.ENDED;
      case UNANSWERED -> Result.UNKNOWN;
      case ACCEPTED -> isSameProcess(lastOpenMillis, others) ? Result.SURVIVED : Result.UNKNOWN;
    };
  }

  private boolean isSameProcess(long lastOpenMillis, ImmutableList<HttpConnection> others) {
    return others.isEmpty()
        ? clockMillis.getAsLong() - lastOpenMillis < MIN_RESTART_MILLIS
        : others.stream().anyMatch(HttpConnection::isOpen);
  }
}
