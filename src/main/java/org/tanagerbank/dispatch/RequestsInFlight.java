package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.upstream.LoadReport;

/**
 * The requests that all instances have in flight at one upstream, as far as this instance knows.
 * Not thread-safe; confined to the event loop.
 */
final class RequestsInFlight {
  /** The time, in milliseconds, for which the load reported with a response is used. */
  private static final long REPORT_VALID_MILLIS = 300;

  private int own;
  private final Map<String, Integer> ofPeers = new HashMap<>();
  private int totalOfPeers;
  private int reportedOthers;
  private int reportedWaiting;
  private int reported;
  private long reportedAtMillis = Long.MIN_VALUE / 2;

  void requestStarted() {
    own++;
  }

  void requestEnded() {
    own--;
  }

  /** Returns the requests of this instance. */
  int own() {
    return own;
  }

  /** Records the load that the upstream reported, less the requests of this instance. */
  void update(LoadReport report, long nowMillis) {
    reported = report.running() + report.waiting();
    reportedOthers = Math.max(0, reported - own);
    reportedWaiting = report.waiting();
    reportedAtMillis = nowMillis;
  }

  /** Sets the number of requests that another instance has in flight. */
  void setPeer(String instanceId, int requests) {
    Integer previous =
        requests == 0 ? ofPeers.remove(instanceId) : ofPeers.put(instanceId, requests);
    totalOfPeers += requests - (previous == null ? 0 : previous);
  }

  /** Forgets what other instances have in flight. */
  void clearPeers() {
    ofPeers.clear();
    totalOfPeers = 0;
  }

  /**
   * Returns the estimated number of requests that all instances have in flight. For the other
   * instances, this is the larger of their own counts and the upstream's recent report.
   */
  int ofFleet(long nowMillis) {
    return own + (isReportFresh(nowMillis) ? Math.max(reportedOthers, totalOfPeers) : totalOfPeers);
  }

  /**
   * Returns the estimated number of requests that wait at the upstream: those beyond its slots, or
   * as many as it reported just now, which may be more if something else than slots is short.
   */
  int waiting(int slots, long nowMillis) {
    int beyondSlots = ofFleet(nowMillis) - slots;
    return Math.max(0, Math.max(beyondSlots, isReportFresh(nowMillis) ? reportedWaiting : 0));
  }

  /**
   * Returns the number of requests that a request met: the mean of those in flight when it was sent
   * and of those that its response reports, which are known exactly.
   */
  int metBy(int inFlightAtSend, long nowMillis) {
    return isReportFresh(nowMillis) ? (inFlightAtSend + reported + 1) / 2 : inFlightAtSend;
  }

  private boolean isReportFresh(long nowMillis) {
    return nowMillis - reportedAtMillis < REPORT_VALID_MILLIS;
  }
}
