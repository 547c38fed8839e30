package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.direct.ConnectionPool;
import org.tanagerbank.direct.DirectUpstream;
import org.tanagerbank.direct.LoadReport;
import org.tanagerbank.engine.EngineModel;

/** One upstream with what this instance knows of it. Confined to the event loop. */
final class UpstreamHandle {
  /** Upstreams tell their load with each response; the word is of use for this long. */
  private static final long LOAD_REPORT_MILLIS = 300;

  private final ConnectionPool connections;
  private final Optional<EngineModel> engine;
  private final UpstreamHealth health = new UpstreamHealth();
  private DirectUpstream upstream;
  private int inFlight;
  private int peersInFlight;
  private int reportedOthers;
  private long reportedAt = Long.MIN_VALUE / 2;
  private boolean gone;

  UpstreamHandle(
      DirectUpstream upstream, ConnectionPool connections, Optional<EngineModel> engine) {
    this.upstream = upstream;
    this.connections = connections;
    this.engine = engine;
  }

  DirectUpstream upstream() {
    return upstream;
  }

  void update(DirectUpstream report) {
    upstream = report;
  }

  ConnectionPool connections() {
    return connections;
  }

  Optional<EngineModel> engine() {
    return engine;
  }

  UpstreamHealth health() {
    return health;
  }

  void began() {
    inFlight++;
  }

  void ended() {
    inFlight--;
  }

  /** Notes what the upstream says of its load while this instance has requests there. */
  void reported(LoadReport report, long nowMillis) {
    reportedOthers = Math.max(0, report.running() + report.waiting() - inFlight);
    reportedAt = nowMillis;
  }

  void setPeersInFlight(int requests) {
    peersInFlight = requests;
  }

  /** Returns the requests of all instances that are believed to be there. */
  int fleetInFlight(long nowMillis) {
    boolean reportFresh = nowMillis - reportedAt < LOAD_REPORT_MILLIS;
    return inFlight + (reportFresh ? Math.max(reportedOthers, peersInFlight) : peersInFlight);
  }

  int ownInFlight() {
    return inFlight;
  }

  void leave() {
    gone = true;
    connections.close();
  }

  boolean isGone() {
    return gone;
  }
}
