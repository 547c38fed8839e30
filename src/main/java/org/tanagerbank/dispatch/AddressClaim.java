package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Whether a process still has the address in its report, although the report of another process
 * names the same one.
 *
 * <p>A process that has started at the address has replaced an earlier one, which must have ended.
 * But a report may come from another writer and name an address that its process never had. So the
 * claim of the later process counts only until the earlier one reports again, or another process
 * answers in place of the later one. Not thread-safe.
 */
final class AddressClaim {
  private final long foundAtMillis;
  private UpstreamReport report;
  private long reportedAtMillis;
  private boolean isRefuted;
  private Optional<AddressClaim> successor = Optional.empty();

  /** Creates the claim of a process whose first report is read now. */
  AddressClaim(UpstreamReport report, long nowMillis) {
    this.report = report;
    this.foundAtMillis = nowMillis;
    this.reportedAtMillis = nowMillis;
  }

  /** Records a report of the process, which may be the known one. */
  void recordReport(UpstreamReport newReport, long nowMillis) {
    boolean wasLost = isLost();
    if (newReport.reportNumber() > report.reportNumber()) {
      reportedAtMillis = nowMillis;
    }
    report = newReport;
    if (wasLost && !isLost()) {
      log(LogEvent.UPSTREAM_NOT_REPLACED);
    }
  }

  /** Records that another process answered at the address. */
  void refute() {
    isRefuted = true;
  }

  /** Records the claim of a process that has started later, or whose report was read later. */
  void recordSuccessor(AddressClaim later) {
    boolean wasLost = isLost();
    successor = Optional.of(later);
    if (!wasLost && isLost()) {
      log(LogEvent.UPSTREAM_REPLACED);
    }
  }

  /** Returns whether another process has the address, so that this one must have ended. */
  boolean isLost() {
    return successor.filter(s -> !s.isRefuted && s.foundAtMillis >= reportedAtMillis).isPresent();
  }

  private void log(LogEvent event) {
    EventLog.emit(event, "upstream", report.id(), "address", report.address());
  }
}
