package org.tanagerbank.routing;

/**
 * Limits how often a sidecar reports a load change to all entries to which it has a link.
 *
 * <p>These reports are sent in addition to the regular report to the reporting entry of the
 * sidecar. The rate decreases with the number of upstreams, so that an entry receives a bounded
 * number of bytes; in a large service the rate is so low that no such reports are sent. This class
 * does no I/O. Thread-safe.
 */
public final class LoadReportLimiter {
  /** The bytes per second of such reports that an entry receives for a service. */
  private static final double BYTES_PER_SECOND_AT_ENTRY = 800;

  private static final double BYTES_PER_REPORT = 16;

  /** The rate below which no such reports are sent. */
  private static final double MIN_REPORTS_PER_SECOND = 0.5;

  private final SendRateLimiter limiter = new SendRateLimiter();

  /** Returns whether the load is to be reported now, and if so records it as reported. */
  public synchronized boolean tryReport(int inFlight, int liveUpstreams, long nowMillis) {
    double reportsPerSecond =
        BYTES_PER_SECOND_AT_ENTRY / BYTES_PER_REPORT / Math.max(1, liveUpstreams);
    if (reportsPerSecond < MIN_REPORTS_PER_SECOND) {
      return false;
    }
    limiter.setRate(reportsPerSecond);
    return limiter.trySend(inFlight, nowMillis);
  }
}
