package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.direct.ConnectionPool;
import org.tanagerbank.direct.DirectUpstream;
import org.tanagerbank.direct.LoadReport;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.route.EngineLimits;

/** One upstream with what this instance knows of it. Confined to the event loop. */
final class UpstreamHandle {
  /** Upstreams tell their load with each response; the word is of use for this long. */
  private static final long LOAD_REPORT_MILLIS = 300;

  private final ConnectionPool connections;
  private Optional<EngineModel> engine = Optional.empty();
  private final UpstreamHealth health = new UpstreamHealth();
  private DirectUpstream upstream;
  private int inFlight;
  private final Map<String, Integer> peersInFlight = new HashMap<>();
  private int allPeersInFlight;
  private int reportedOthers;
  private long reportedAt = Long.MIN_VALUE / 2;
  private boolean gone;

  UpstreamHandle(DirectUpstream upstream, ConnectionPool connections) {
    this.upstream = upstream;
    this.connections = connections;
  }

  DirectUpstream upstream() {
    return upstream;
  }

  void update(DirectUpstream report) {
    upstream = report;
  }

  /** Notes the size of the engine; its model begins when the size is first known. */
  void setEngineLimits(EngineLimits limits) {
    if (engine.isEmpty()) {
      engine = Optional.of(EngineModel.create(limits));
    }
  }

  ConnectionPool connections() {
    return connections;
  }

  Optional<EngineModel> engine() {
    return engine;
  }

  /** Returns how many tokens of a prompt the engine would have to read, or 0 for no engine. */
  int freshTokens(Optional<Prompt> prompt) {
    return engine.isPresent() && prompt.isPresent() ? engine.get().freshTokens(prompt.get()) : 0;
  }

  /** Returns the expected time to the first token, or 0 for no engine. */
  long firstTokenMillis(Optional<Prompt> prompt, int fetchedTokens, long nowMillis) {
    return engine.isPresent() && prompt.isPresent()
        ? Math.round(engine.get().firstTokenMillis(prompt.get(), fetchedTokens, nowMillis))
        : 0;
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
    Integer before =
        requests == 0 ? peersInFlight.remove(instanceId) : peersInFlight.put(instanceId, requests);
    allPeersInFlight += requests - (before == null ? 0 : before);
  }

  /** Returns the requests of all instances that are believed to be there. */
  int fleetInFlight(long nowMillis) {
    boolean reportFresh = nowMillis - reportedAt < LOAD_REPORT_MILLIS;
    return inFlight + (reportFresh ? Math.max(reportedOthers, allPeersInFlight) : allPeersInFlight);
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
