package org.tanagerbank.bench;

import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.routing.BoundedAdmission;
import org.tanagerbank.routing.HomeDirectory;
import org.tanagerbank.routing.MeanEstimate;
import org.tanagerbank.routing.ReportPacer;

/** The decision classes of one sidecar incarnation. Not thread-safe. */
final class BenchSidecar {
  static final long REPORT_MICROS = 500_000;
  private static final int DIRECTORY_CAPACITY = 4_096;

  final BoundedAdmission admission;
  final HomeDirectory directory;
  private final TanagerbankPolicy policy;
  private final FakeEngine engine;
  private final BenchEntry reportingEntry;
  private final ControlBytes bytes;
  private final long incarnation;
  private final ReportPacer reportPacer = new ReportPacer();
  private int live;
  private boolean stopped;

  BenchSidecar(
      TanagerbankPolicy policy,
      FakeEngine engine,
      ServiceSpec spec,
      BenchEntry reportingEntry,
      ControlBytes bytes) {
    this.policy = policy;
    this.engine = engine;
    this.reportingEntry = reportingEntry;
    this.bytes = bytes;
    this.incarnation = engine.upstream.incarnation();
    this.admission = new BoundedAdmission(spec);
    // Engines of the first fleet are old: their start lies before the run.
    long startedAt = incarnation == 2 && policy.time.nowMicros() == 0 ? -3_600_000 : now();
    this.directory = new HomeDirectory(DIRECTORY_CAPACITY, startedAt);
  }

  private long now() {
    return policy.time.nowMillis();
  }

  void start(long phaseMicros) {
    report();
    policy.time.after(phaseMicros, this::reportAgain);
  }

  private void reportAgain() {
    if (!stopped) {
      report();
      policy.time.after(REPORT_MICROS, this::reportAgain);
    }
  }

  /** Reports a change to every entry that has a link, as often as the byte budget allows. */
  void loadChanged() {
    if (!stopped && reportPacer.due(admission.inFlight(), live, now())) {
      int inFlight = admission.inFlight();
      boolean late = policy.settings.scenario() == BenchScenario.LAG;
      long lag = late ? policy.settings.reportLagMillis() * 1000 : 0;
      for (BenchEntry entry : policy.entries()) {
        bytes.reportOnChange(inFlight);
        if (policy.fleet.connected(entry.zone, engine.zone)) {
          long latency = Fleet.latency(entry.zone, engine.zone);
          policy.time.after(lag + latency, () -> entry.loadReported(engine, inFlight));
        }
      }
    }
  }

  private void report() {
    int inFlight = admission.inFlight();
    boolean late = policy.settings.scenario() == BenchScenario.LAG;
    long lag = late ? policy.settings.reportLagMillis() * 1000 : 0;
    bytes.report(inFlight);
    policy.time.after(
        (policy.time.nowMicros() == 0 ? 0 : lag) + 500,
        () -> {
          if (!stopped) {
            reportingEntry.sidecarReported(engine, inFlight, incarnation);
          }
        });
  }

  /** Takes the mean that came with a request, aged by the time that the sender stated. */
  void meanReported(MeanEstimate mean) {
    live = mean.liveUpstreams();
    admission.meanReported(mean, now());
  }

  void leave() {
    admission.leave();
    stopped = true;
  }

  void stop() {
    stopped = true;
  }
}
