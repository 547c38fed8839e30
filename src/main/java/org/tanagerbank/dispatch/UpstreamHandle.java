package org.tanagerbank.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.capacity.ProcessCapacity;
import org.tanagerbank.capacity.ServiceCapacity;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.routing.SlotTable;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.LoadReport;
import org.tanagerbank.upstream.SendLimit;
import org.tanagerbank.upstream.UpstreamNotice;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The state of one upstream: its latest report, its connections, health and load, and the model of
 * its engine. A restarted upstream gets a new handle. Not thread-safe; confined to the event loop.
 */
final class UpstreamHandle {
  /** The time, in milliseconds, for which the load reported with a response is used. */
  private static final long LOAD_REPORT_VALID_MILLIS = 300;

  /** The requests that an upstream gets for each of its slots while others of its service pause. */
  private static final int MAX_LOAD_PER_SLOT_BESIDE_PAUSES = 2;

  private final ConnectionPool connections;
  private final int softwareHash;
  private Optional<EngineModel> engine = Optional.empty();
  private final UpstreamHealth health = new UpstreamHealth();
  private final SendPermission permission;
  private final ServiceCapacity serviceCapacity;
  private final ProcessCapacity capacity;
  private UpstreamReport report;
  private int inFlight;
  private final Map<String, Integer> peersInFlight = new HashMap<>();
  private int totalPeersInFlight;
  private int reportedOtherRequests;
  private int reportedRequests;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private boolean closed;
  private boolean isReplaced;
  private int crashes;

  UpstreamHandle(UpstreamReport report, ConnectionPool connections, SendPermission permission) {
    this(report, connections, permission, new ServiceCapacity());
  }

  UpstreamHandle(
      UpstreamReport report,
      ConnectionPool connections,
      SendPermission permission,
      ServiceCapacity serviceCapacity) {
    this.permission = permission;
    this.serviceCapacity = serviceCapacity;
    this.capacity = serviceCapacity.add(processHash(report), report.slots());
    this.report = report;
    this.connections = connections;
    this.softwareHash = RunConditions.softwareHash(report.service(), report.softwareVersion());
  }

  UpstreamReport report() {
    return report;
  }

  void update(UpstreamReport newReport) {
    report = newReport;
    capacity.setSlots(newReport.slots());
  }

  /** Returns a hash of its id, the same at all instances and never 0. */
  int idHash() {
    int hash = Long.hashCode(SlotTable.idHash(report.id()));
    return hash == 0 ? 1 : hash;
  }

  /** Returns a hash of the id and the start time of a process, the same at all instances. */
  private static int processHash(UpstreamReport report) {
    return Long.hashCode(
        SlotTable.mixBits(SlotTable.idHash(report.id()) ^ report.startedAtMillis()));
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
  ConnectionPool connectionsForQuery() {
    permission.rate().take();
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

  /** Returns the length in tokens of the cached prompt parts that several requests share. */
  int sharedCachedTokens() {
    return engine.map(e -> e.sharedParts().stream().mapToInt(PromptPart::tokens).sum()).orElse(0);
  }

  UpstreamHealth health() {
    return health;
  }

  /** Records that a request is about to be sent, for which the upstream has room. */
  void requestStarted() {
    inFlight++;
    permission.rate().take();
  }

  /** Records that a request that was started was not sent; {@link #requestEnded} follows. */
  void requestNotSent() {
    permission.rate().giveBack();
  }

  void requestEnded() {
    inFlight--;
  }

  /** Records what a response of the process says of it; the load is passed to updateLoad. */
  void recordNotice(UpstreamNotice notice, long sentAtMillis, long nowMillis) {
    boolean wasLimited = isLimited();
    boolean wasLeaving = permission.isLeaving();
    boolean wasPaused = permission.isPaused(nowMillis);
    permission.record(notice, sentAtMillis, nowMillis);
    if (isLimited() != wasLimited) {
      EventLog.emit(
          isLimited() ? LogEvent.UPSTREAM_LIMITED : LogEvent.UPSTREAM_UNLIMITED,
          "upstream",
          report.id(),
          "requestsPerSecond",
          notice.limit().map(SendLimit::requestsPerSecond).orElse(Double.NaN));
    }
    if (permission.isLeaving() && !wasLeaving) {
      EventLog.emit(LogEvent.UPSTREAM_LEAVING, "upstream", report.id());
    }
    if (permission.isPaused(nowMillis) && !wasPaused) {
      EventLog.emit(
          LogEvent.UPSTREAM_PAUSED,
          "upstream",
          report.id(),
          "pauseMillis",
          notice.pauseMillis().orElse(0));
    }
  }

  /** Returns the permission for the process that has followed this one. */
  SendPermission permissionOf(UpstreamReport next) {
    return permission.ofProcessStartedAt(next.startedAtMillis());
  }

  /**
   * Returns whether one more request may be sent to the upstream now. All that sends requests asks
   * this, and then records the request by {@link #requestStarted}.
   */
  boolean acceptsRequests(long nowMillis) {
    return takesStartedRequests(nowMillis) && permission.rate().millisUntilRoom(nowMillis) == 0;
  }

  /** Returns whether a request that was started may still be sent. */
  boolean takesStartedRequests(long nowMillis) {
    return !isLeaving() && !permission.isPaused(nowMillis);
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
   * Returns the time from which the upstream takes requests again, in milliseconds, if a pause or
   * its limit keeps them away now.
   */
  OptionalLong takesRequestsAgainMillis(long nowMillis) {
    long roomAtMillis = nowMillis + permission.rate().millisUntilRoom(nowMillis);
    long atMillis = Math.max(roomAtMillis, permission.pausedUntilMillis(nowMillis).orElse(0));
    return isLeaving() || atMillis <= nowMillis ? OptionalLong.empty() : OptionalLong.of(atMillis);
  }

  private boolean isLeaving() {
    return closed || isReplaced || hasAnnouncedEnd();
  }

  /** Records that another process has its address, so that this one must have ended. */
  void recordReplaced() {
    if (!isReplaced) {
      isReplaced = true;
      EventLog.emit(
          LogEvent.UPSTREAM_REPLACED, "upstream", report.id(), "address", report.address());
    }
  }

  /** Returns whether the process said in a report or in a response that it shuts down. */
  boolean hasAnnouncedEnd() {
    return report.isDraining() || permission.isLeaving();
  }

  /**
   * Returns whether the upstream can take over requests of others that take none now: it is working
   * on fewer requests than twice its slots, so that none waits longer than another one takes.
   */
  boolean hasRoomBesidePauses(long nowMillis) {
    return fleetInFlight(nowMillis) < MAX_LOAD_PER_SLOT_BESIDE_PAUSES * report.slots();
  }

  /** Records the load that the upstream reported, less the requests of this instance. */
  void updateLoad(LoadReport report, long nowMillis) {
    reportedOtherRequests = Math.max(0, report.running() + report.waiting() - inFlight);
    reportedAtMillis = nowMillis;
    reportedRequests = report.running() + report.waiting();
    report.workPercent().ifPresent(p -> capacity.recordWorkPercent(p, nowMillis));
  }

  /** Sets the number of requests that another instance has in flight at the upstream. */
  void setPeerInFlight(String instanceId, int requests) {
    Integer previous =
        requests == 0 ? peersInFlight.remove(instanceId) : peersInFlight.put(instanceId, requests);
    totalPeersInFlight += requests - (previous == null ? 0 : previous);
  }

  /**
   * Returns the estimated number of requests that all instances have in flight at the upstream. For
   * the other instances, this is the larger of their own counts and the upstream's recent report.
   */
  int fleetInFlight(long nowMillis) {
    boolean isReportFresh = nowMillis - reportedAtMillis < LOAD_REPORT_VALID_MILLIS;
    return inFlight
        + (isReportFresh
            ? Math.max(reportedOtherRequests, totalPeersInFlight)
            : totalPeersInFlight);
  }

  /** Returns what was learned of the speed of the process. */
  ProcessCapacity capacity() {
    return capacity;
  }

  /** Returns whether the upstreams of its service differ in what was learned of their speed. */
  boolean isPlacedByTime(long nowMillis) {
    return serviceCapacity.differs(nowMillis);
  }

  /**
   * Records the time of a whole response of an upstream that is no engine. The requests that it met
   * are the mean of those in flight when it was sent and of those that the response reports, which
   * are known exactly.
   *
   * @param inFlightAtSend the requests that all instances had in flight, including this one
   */
  void recordResponseTime(int inFlightAtSend, long millis, long nowMillis) {
    if (engine.isEmpty()) {
      boolean isReportFresh = nowMillis - reportedAtMillis < LOAD_REPORT_VALID_MILLIS;
      int met = isReportFresh ? (inFlightAtSend + reportedRequests + 1) / 2 : inFlightAtSend;
      capacity.responded(met, millis, nowMillis);
      capacity.takeChange(nowMillis).ifPresent(this::logSpeed);
    }
  }

  private void logSpeed(double ratio) {
    EventLog.emit(
        LogEvent.UPSTREAM_SPEED_CHANGED,
        "upstream",
        report.id(),
        "timeRatio",
        ratio,
        "takesWell",
        capacity.takesWell());
  }

  int ownInFlight() {
    return inFlight;
  }

  /** Records that the process has ended without notice. It may be back before it reports so. */
  void recordCrash() {
    crashes++;
  }

  /** Returns the number of crashes that were detected. */
  int crashes() {
    return crashes;
  }

  void close() {
    closed = true;
    capacity.close();
    connections.close();
  }

  boolean isClosed() {
    return closed;
  }
}
