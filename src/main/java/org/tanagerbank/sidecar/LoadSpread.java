package org.tanagerbank.sidecar;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.LoadReport;
import org.tanagerbank.routing.ReportPacer;

/**
 * Tells changes of the load to all entries with a link, as often as the pacer allows.
 *
 * <p>This comes in addition to the reports on the {@link ReportingLink}. Thread-safe.
 */
final class LoadSpread {
  private final AdmissionGate gate;
  private final ConfigHolder config;
  private final Consumer<Frame> broadcast;
  private final LongSupplier clock;
  private final ReportPacer pacer = new ReportPacer();
  private final AtomicLong sequence = new AtomicLong();

  LoadSpread(
      AdmissionGate gate, ConfigHolder config, Consumer<Frame> broadcast, LongSupplier clock) {
    this.gate = gate;
    this.config = config;
    this.broadcast = broadcast;
    this.clock = clock;
  }

  /** Sends a report if one is due. */
  void tick() {
    int inFlight = gate.inFlight();
    if (pacer.due(inFlight, gate.liveUpstreams(), clock.getAsLong())) {
      broadcast.accept(report(inFlight));
    }
  }

  /** Returns a report of the load as it is now. */
  Frame report(int inFlight) {
    return Frame.newBuilder()
        .setLoadReport(
            LoadReport.newBuilder()
                .setSequence(sequence.incrementAndGet())
                .setInFlight(inFlight)
                .setAccepting(gate.isAccepting())
                .setRevision(config.revision()))
        .build();
  }
}
