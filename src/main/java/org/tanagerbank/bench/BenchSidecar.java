package org.tanagerbank.bench;

import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.routing.BoundedAdmission;
import org.tanagerbank.routing.ChatDirectory;
import org.tanagerbank.routing.LoadReportLimiter;
import org.tanagerbank.routing.MeanLoadEstimate;

/**
 * One simulated sidecar incarnation with the production decision classes.
 *
 * <p>Not thread-safe.
 */
final class BenchSidecar {
  static final long REPORT_INTERVAL_MICROS = 500_000;
  private static final int DIRECTORY_CAPACITY = 4_096;

  final BoundedAdmission admission;
  final ChatDirectory directory;
  private final TanagerbankPolicy policy;
  private final SimulatedEngine engine;
  private final BenchEntry reportingEntry;
  private final ControlByteCounter byteCounter;
  private final long incarnation;
  private final LoadReportLimiter reportLimiter = new LoadReportLimiter();
  private int liveUpstreams;
  private boolean stopped;

  BenchSidecar(
      TanagerbankPolicy policy,
      SimulatedEngine engine,
      ServiceSpec spec,
      BenchEntry reportingEntry,
      ControlByteCounter byteCounter) {
    this.policy = policy;
    this.engine = engine;
    this.reportingEntry = reportingEntry;
    this.byteCounter = byteCounter;
    this.incarnation = engine.upstream.incarnation();
    this.admission = new BoundedAdmission(spec);
    // Engines that exist at the start of the run count as started an hour earlier, so that their
    // sidecars do not redirect unknown chats to previous homes as new sidecars do.
    long startedAt = incarnation == 2 && policy.time.nowMicros() == 0 ? -3_600_000 : now();
    this.directory = new ChatDirectory(DIRECTORY_CAPACITY, startedAt);
  }

  private long now() {
    return policy.time.nowMillis();
  }

  void start(long phaseMicros) {
    report();
    policy.time.after(phaseMicros, this::reportPeriodically);
  }

  private void reportPeriodically() {
    if (!stopped) {
      report();
      policy.time.after(REPORT_INTERVAL_MICROS, this::reportPeriodically);
    }
  }

  /**
   * Reports a changed in-flight count to every entry, as often as the byte budget allows. An entry
   * on the other side of a partition does not receive the report.
   */
  void loadChanged() {
    if (!stopped && reportLimiter.tryReport(admission.inFlight(), liveUpstreams, now())) {
      int inFlight = admission.inFlight();
      boolean delayed = policy.settings.scenario() == BenchScenario.LAG;
      long lagMicros = delayed ? policy.settings.reportLagMillis() * 1000 : 0;
      for (BenchEntry entry : policy.entries()) {
        byteCounter.countChangeReport(inFlight);
        if (policy.fleet.isConnected(entry.zone, engine.zone)) {
          long latencyMicros = SimulatedFleet.latencyMicros(entry.zone, engine.zone);
          policy.time.after(lagMicros + latencyMicros, () -> entry.updateLoad(engine, inFlight));
        }
      }
    }
  }

  private void report() {
    int inFlight = admission.inFlight();
    boolean delayed = policy.settings.scenario() == BenchScenario.LAG;
    long lagMicros = delayed ? policy.settings.reportLagMillis() * 1000 : 0;
    byteCounter.countReportAndReply(inFlight);
    policy.time.after(
        (policy.time.nowMicros() == 0 ? 0 : lagMicros) + 500,
        () -> {
          if (!stopped) {
            reportingEntry.sidecarReported(engine, inFlight, incarnation);
          }
        });
  }

  /** Records the estimate of the mean load that was sent with a request. */
  void updateMean(MeanLoadEstimate mean) {
    liveUpstreams = mean.liveUpstreams();
    admission.updateMean(mean, now());
  }

  void startLeaving() {
    admission.startLeaving();
    stopped = true;
  }

  void stop() {
    stopped = true;
  }
}
