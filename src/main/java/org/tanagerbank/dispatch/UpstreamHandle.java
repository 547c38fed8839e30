package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
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
  private final Map<String, Integer> peersInFlight = new HashMap<>();
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

  /** Notes the requests that another instance has there. */
  void setPeerInFlight(String instanceId, int requests) {
    if (requests == 0) {
      peersInFlight.remove(instanceId);
    } else {
      peersInFlight.put(instanceId, requests);
    }
  }

  /** Returns the requests of all instances that are believed to be there. */
  int fleetInFlight(long nowMillis) {
    boolean reportFresh = nowMillis - reportedAt < LOAD_REPORT_MILLIS;
    int peers = peersInFlight.values().stream().mapToInt(Integer::intValue).sum();
    return inFlight + (reportFresh ? Math.max(reportedOthers, peers) : peers);
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
