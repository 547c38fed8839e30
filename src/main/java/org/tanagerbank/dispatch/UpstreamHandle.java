package org.tanagerbank.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.capacity.ProcessCapacity;
import org.tanagerbank.capacity.ServiceCapacity;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.routing.SlotTable;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.LoadReport;
import org.tanagerbank.upstream.UpstreamNotice;
import org.tanagerbank.upstream.UpstreamReport;
import org.tanagerbank.zone.Evacuations;

/**
 * The state of one upstream: its latest report, its connections, health and load, and the model of
 * its engine. A restarted upstream gets a new handle; a process whose report was removed and is
 * back keeps its handle. Not thread-safe; confined to the event loop.
 */
final class UpstreamHandle {
  private ConnectionPool connections;
  private final int softwareHash;
  private Optional<EngineModel> engine = Optional.empty();
  private final UpstreamHealth health = new UpstreamHealth();
  private final SendPermission permission;
  private final Evacuations evacuations;
  private final ColdState cold;
  private final LearnedSpeed speed;
  private UpstreamReport report;
  private final RequestsInFlight load = new RequestsInFlight();
  private boolean closed;
  private final AddressClaim claim;
  private Optional<UpstreamHandle> successor = Optional.empty();
  private int crashes;

  UpstreamHandle(
      UpstreamReport report,
      ConnectionPool connections,
      SendPermission permission,
      Evacuations evacuations,
      ColdState cold,
      ServiceCapacity serviceCapacity,
      long nowMillis) {
    this.claim = new AddressClaim(report, nowMillis);
    this.evacuations = evacuations;
    this.permission = permission;
    this.cold = cold;
    this.speed = new LearnedSpeed(serviceCapacity, report);
    this.report = report;
    this.connections = connections;
    this.softwareHash = RunConditions.softwareHash(report.service(), report.softwareVersion());
  }

  UpstreamReport report() {
    return report;
  }

  void update(UpstreamReport newReport, long nowMillis) {
    claim.recordReport(newReport, nowMillis);
    report = newReport;
    speed.capacity().setSlots(newReport.slots());
  }

  /** Returns a hash of its id, the same at all instances and never 0. */
  int idHash() {
    int hash = Long.hashCode(SlotTable.idHash(report.id()));
    return hash == 0 ? 1 : hash;
  }

  /** Returns the hash of its service and software version, which a process does not change. */
  int softwareHash() {
    return softwareHash;
  }

  /** Returns whether the upstream can go on with a stream that began at an origin. */
  boolean canGoOn(StreamOrigin origin) {
    return origin.equals(StreamOrigin.of(report));
  }

  /** Creates the model of the engine unless there is one; later calls have no effect. */
  void setEngineLimits(EngineLimits limits) {
    if (engine.isEmpty()) {
      engine = Optional.of(EngineModel.create(limits));
    }
  }

  ConnectionPool connections() {
    return connections;
  }

  /** Returns the connections for one query, which counts as a request that was sent. */
  ConnectionPool connectionsForQuery(long nowMillis) {
    permission.rate().take();
    cold.takeToken(nowMillis);
    return connections;
  }

  Optional<EngineModel> engine() {
    return engine;
  }

  /**
   * Returns the number of prompt tokens that the engine does not have cached, or 0 if this is not
   * an engine or there is no prompt.
   */
  int uncachedTokens(Optional<Prompt> prompt) {
    return engine.isPresent() && prompt.isPresent() ? engine.get().uncachedTokens(prompt.get()) : 0;
  }

  /**
   * Returns the predicted time to the first token, in milliseconds, or 0 if this is not an engine
   * or there is no prompt.
   */
  long firstTokenMillis(Optional<Prompt> prompt, int fetchedTokens, long nowMillis) {
    return engine.isPresent() && prompt.isPresent()
        ? Math.round(engine.get().firstTokenMillis(prompt.get(), fetchedTokens, nowMillis))
        : 0;
  }

  UpstreamHealth health() {
    return health;
  }

  /**
   * Records that a request is about to be sent, for which the upstream has room.
   *
   * @return the phase of the upstream, to be passed on with what becomes of the request
   */
  int requestStarted(long nowMillis) {
    load.requestStarted();
    permission.rate().take();
    return cold.takeToken(nowMillis);
  }

  /** Records that a request was not sent after all; {@link #requestEnded} follows. */
  void requestNotSent(int phase) {
    permission.rate().giveBack();
    cold.giveBack(phase);
  }

  void requestEnded() {
    load.requestEnded();
  }

  /**
   * Records what a response says of its process; the load is passed to updateLoad. A request may
   * have been sent to the process that followed before its report was read, so what it answers is
   * recorded there.
   *
   * @param openedAtMillis the time at which the connection of the response was opened
   */
  void recordNotice(UpstreamNotice notice, long openedAtMillis, long sentAtMillis, long nowMillis) {
    UpstreamHandle sender = processSince(openedAtMillis, nowMillis);
    if (sender != this) {
      sender.recordNotice(notice, openedAtMillis, sentAtMillis, nowMillis);
      return;
    }
    NoticeLog log = NoticeLog.of(permission, nowMillis);
    permission.record(notice, openedAtMillis, sentAtMillis, nowMillis);
    notice.coldMillis().ifPresent(m -> cold.recordResponse(m, sentAtMillis, nowMillis));
    log.logChanges(report.id(), permission, notice, nowMillis);
  }

  /**
   * Returns the handle of the process to which a request went at a time: this one, or one that had
   * followed by then although its report was not read yet.
   */
  UpstreamHandle processSince(long monotonicMillis, long nowMillis) {
    return successor
        .filter(s -> s.hasStartedBy(monotonicMillis, nowMillis))
        .map(s -> s.processSince(monotonicMillis, nowMillis))
        .orElse(this);
  }

  private boolean hasStartedBy(long monotonicMillis, long nowMillis) {
    return permission.epochMillis(monotonicMillis, nowMillis) >= report.startedAtMillis();
  }

  /** Returns the handle of the process that has followed this one at its address. */
  UpstreamHandle followedBy(
      UpstreamReport next, ConnectionPool itsConnections, ColdState itsCold, long nowMillis) {
    UpstreamHandle follower =
        new UpstreamHandle(
            next,
            itsConnections,
            permission.ofProcessStartedAt(next.startedAtMillis()),
            evacuations,
            itsCold,
            speed.service(),
            nowMillis);
    successor = Optional.of(follower);
    return follower;
  }

  /** Uses the process again, whose report was removed for a while. */
  void reopen(UpstreamReport newReport, ConnectionPool newConnections) {
    report = newReport;
    connections = newConnections;
    closed = false;
    // The removal of the report counted as a crash, which the process has survived.
    crashes = 0;
    // Other instances tell what they have in flight only for the upstreams that are known.
    load.clearPeers();
    speed.open(report);
  }

  /**
   * Returns whether one more request may be sent to the upstream now. All that sends requests asks
   * this, and then records the request by {@link #requestStarted}.
   */
  boolean acceptsRequests(long nowMillis) {
    return takesStartedRequests(nowMillis)
        && permission.rate().millisUntilRoom(nowMillis) == 0
        && cold.millisUntilRoom(nowMillis) == 0;
  }

  /**
   * Returns whether a request that was started may be sent now that its connection is open. To be
   * called once for each request, as one that was started before the upstream became cold takes a
   * token of the rate now.
   *
   * @param phase the phase in which the request was started
   */
  boolean sendsStarted(int phase, long nowMillis) {
    return takesStartedRequests(nowMillis) && cold.admitsStarted(phase, nowMillis);
  }

  /** Returns whether requests that were started may still be sent, but for a rate while cold. */
  boolean takesStartedRequests(long nowMillis) {
    return !isLeaving() && !permission.isPaused(nowMillis) && !isEvacuated();
  }

  /** Returns whether the upstream is in a zone that is evacuated. */
  boolean isEvacuated() {
    return evacuations.isEvacuated(report.zone());
  }

  /** Returns whether the process has named a limit on the requests that it takes. */
  boolean isLimited() {
    return permission.rate().isLimited();
  }

  /** Returns whether the process has named a limit just now, so that its room is to be saved. */
  boolean isSavingRoom(long nowMillis) {
    return permission.rate().isConfirmed(nowMillis);
  }

  /** Returns the end of the pause that keeps requests away, or empty if it is not a pause. */
  OptionalLong pausedUntilMillis(long nowMillis) {
    return isLeaving() ? OptionalLong.empty() : permission.pausedUntilMillis(nowMillis);
  }

  /**
   * Returns the time from which the upstream takes requests again, in milliseconds, if a pause, its
   * limit or its rate while cold keeps them away now.
   */
  OptionalLong takesRequestsAgainMillis(long nowMillis) {
    long roomAtMillis =
        nowMillis
            + Math.max(
                permission.rate().millisUntilRoom(nowMillis), cold.millisUntilRoom(nowMillis));
    long atMillis = Math.max(roomAtMillis, permission.pausedUntilMillis(nowMillis).orElse(0));
    return isLeaving() || isEvacuated() || atMillis <= nowMillis
        ? OptionalLong.empty()
        : OptionalLong.of(atMillis);
  }

  /** Returns whether the process is cold, or counts as cold, in a service that bounds this. */
  boolean isCold(long nowMillis) {
    return cold.isCold(nowMillis);
  }

  /** Returns whether only its rate while cold keeps requests away now. */
  boolean isColdWithoutRoom(long nowMillis) {
    return takesStartedRequests(nowMillis)
        && permission.rate().millisUntilRoom(nowMillis) == 0
        && cold.millisUntilRoom(nowMillis) > 0;
  }

  /** Returns the time by which the first token comes later while the process is slow. */
  double slowStartMillis(long nowMillis) {
    return cold.slowStartMillis(report, nowMillis);
  }

  /** Counts the upstream as cold until its next reports decide, as after an evacuation. */
  void assumeCold(long nowMillis) {
    cold.assumeCold("zone", nowMillis);
  }

  /** Sets what its service says of cold upstreams, and notices the end of the cold time. */
  void updateCold(Optional<ColdLimits> limits, long nowMillis) {
    cold.setLimits(limits, nowMillis);
    cold.recordReport(report, nowMillis);
  }

  /** Returns whether it takes no more requests until its process starts again. */
  boolean isLeaving() {
    return closed || claim.isLost() || hasAnnouncedEnd();
  }

  /** Returns whether its process still has its address. */
  AddressClaim claim() {
    return claim;
  }

  /** Returns whether the process said in a report or in a response that it shuts down. */
  boolean hasAnnouncedEnd() {
    return report.isDraining() || permission.isLeaving();
  }

  /** Records the load that the upstream reported. */
  void updateLoad(LoadReport loadReport, long nowMillis) {
    load.update(loadReport, nowMillis);
    loadReport.workPercent().ifPresent(p -> speed.capacity().recordWorkPercent(p, nowMillis));
  }

  /** Sets the number of requests that another instance has in flight at the upstream. */
  void setPeerInFlight(String instanceId, int requests) {
    load.setPeer(instanceId, requests);
  }

  /** Returns the estimated number of requests that all instances have in flight. */
  int fleetInFlight(long nowMillis) {
    return load.ofFleet(nowMillis);
  }

  /** Returns the estimated number of requests that wait at the upstream. */
  int waiting(long nowMillis) {
    return load.waiting(report.slots(), nowMillis);
  }

  /** Returns what was learned of the speed of the process. */
  ProcessCapacity capacity() {
    return speed.capacity();
  }

  /** Returns whether the upstreams of its service differ in what was learned of their speed. */
  boolean isPlacedByTime(long nowMillis) {
    return speed.service().differs(nowMillis);
  }

  /**
   * Records the time of a whole response of an upstream that is no engine.
   *
   * @param inFlightAtSend the requests that all instances had in flight, including this one
   */
  void recordResponseTime(int inFlightAtSend, long millis, long nowMillis) {
    if (engine.isEmpty()) {
      speed.responded(load.metBy(inFlightAtSend, nowMillis), millis, nowMillis);
    }
  }

  int ownInFlight() {
    return load.own();
  }

  /** Records that the process has ended without notice. It may be back before it reports so. */
  void recordCrash(long nowMillis) {
    crashes++;
    cold.assumeCold("unreachable", nowMillis);
  }

  /** Records that no connection could be opened. The process may be back under another start. */
  void connectFailed(long nowMillis) {
    health.connectFailed(nowMillis);
    cold.assumeCold("unreachable", nowMillis);
  }

  /** Returns the number of crashes that were detected. */
  int crashes() {
    return crashes;
  }

  void close() {
    closed = true;
    speed.close();
    connections.close();
  }

  boolean isClosed() {
    return closed;
  }
}
