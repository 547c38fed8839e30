package org.tanagerbank.dispatch;

import org.tanagerbank.capacity.ProcessCapacity;
import org.tanagerbank.capacity.ServiceCapacity;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.routing.SlotTable;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * What was learned of the speed of one process, beside the others of its service. It is forgotten
 * while the process is closed. Not thread-safe; confined to the event loop.
 */
final class LearnedSpeed {
  private final ServiceCapacity service;
  private final String upstreamId;
  private final int process;
  private ProcessCapacity capacity;

  LearnedSpeed(ServiceCapacity service, UpstreamReport report) {
    this.service = service;
    this.upstreamId = report.id();
    this.process = processHash(report);
    open(report);
  }

  /** Returns a hash of the id and the start time of a process, the same at all instances. */
  private static int processHash(UpstreamReport report) {
    return Long.hashCode(
        SlotTable.mixBits(SlotTable.idHash(report.id()) ^ report.startedAtMillis()));
  }

  /** Begins to learn of the process, which takes requests from now on. */
  void open(UpstreamReport report) {
    capacity = service.add(process, report.slots());
  }

  /** Forgets the process, which no longer takes requests. */
  void close() {
    capacity.close();
  }

  ServiceCapacity service() {
    return service;
  }

  ProcessCapacity capacity() {
    return capacity;
  }

  /** Records the time of a whole response, and logs a change of the speed. */
  void responded(int inFlight, long millis, long nowMillis) {
    capacity.responded(inFlight, millis, nowMillis);
    capacity.takeChange(nowMillis).ifPresent(this::logChange);
  }

  private void logChange(double ratio) {
    EventLog.emit(
        LogEvent.UPSTREAM_SPEED_CHANGED,
        "upstream",
        upstreamId,
        "timeRatio",
        ratio,
        "takesWell",
        capacity.takesWell());
  }
}
