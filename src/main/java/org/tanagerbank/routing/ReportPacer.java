package org.tanagerbank.routing;

/**
 * Decides when a sidecar reports a change of its load to all entries to which it has a link.
 *
 * <p>This comes in addition to the regular report to its reporting entry. The rate falls with the
 * number of upstreams, so that an entry receives a bounded number of bytes; in a large service it
 * is so low that such reports are not sent at all. Pure decision code, thread-safe.
 */
public final class ReportPacer {
  private static final double BYTES_PER_SECOND_AT_ENTRY = 800;
  private static final double BYTES_PER_REPORT = 16;
  private static final double LEAST_PER_SECOND = 0.5;

  private final Pacer pacer = new Pacer();

  /** Returns whether the load is to be reported now, and counts it as reported when it is. */
  public synchronized boolean due(int inFlight, int liveUpstreams, long nowMillis) {
    double perSecond = BYTES_PER_SECOND_AT_ENTRY / BYTES_PER_REPORT / Math.max(1, liveUpstreams);
    if (perSecond < LEAST_PER_SECOND) {
      return false;
    }
    pacer.rate(perSecond);
    return pacer.due(inFlight, nowMillis);
  }
}
