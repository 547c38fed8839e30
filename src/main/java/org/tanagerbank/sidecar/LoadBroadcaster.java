package org.tanagerbank.sidecar;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.LoadReport;
import org.tanagerbank.routing.LoadReportLimiter;

/**
 * Reports changes of the load to all entries that have a link to this sidecar, as often as the
 * {@link LoadReportLimiter} allows.
 *
 * <p>These reports are in addition to those on the {@link ReportingLink}. Both take their sequence
 * numbers from this class. Thread-safe.
 */
final class LoadBroadcaster {
  private final AdmissionController admission;
  private final ConfigHolder config;
  private final Consumer<Frame> broadcast;
  private final LongSupplier clock;
  private final LoadReportLimiter reportLimiter = new LoadReportLimiter();
  private final AtomicLong sequence = new AtomicLong();

  LoadBroadcaster(
      AdmissionController admission,
      ConfigHolder config,
      Consumer<Frame> broadcast,
      LongSupplier clock) {
    this.admission = admission;
    this.config = config;
    this.broadcast = broadcast;
    this.clock = clock;
  }

  /** Sends a report on all links if the limiter allows one now. */
  void broadcastIfDue() {
    int inFlight = admission.inFlight();
    if (reportLimiter.tryReport(inFlight, admission.liveUpstreams(), clock.getAsLong())) {
      broadcast.accept(buildReport(inFlight));
    }
  }

  /**
   * Returns a load report with the next sequence number.
   *
   * @param inFlight the number of requests in flight at the upstream
   */
  Frame buildReport(int inFlight) {
    return Frame.newBuilder()
        .setLoadReport(
            LoadReport.newBuilder()
                .setSequence(sequence.incrementAndGet())
                .setInFlight(inFlight)
                .setAccepting(admission.isAccepting())
                .setRevision(config.revision()))
        .build();
  }
}
