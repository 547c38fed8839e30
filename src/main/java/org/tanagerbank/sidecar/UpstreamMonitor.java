package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.quarantine.CrashReport;

/**
 * Watches the health of the upstream and recognises its crashes.
 *
 * <p>A broken connection while the upstream does not answer its health check is a crash: all runs
 * in flight have ended. A broken connection of a healthy upstream concerns its own run only. Before
 * an upstream that was not healthy is given work, all work it may still have is cancelled; this
 * covers the work that a predecessor of the sidecar left. {@link #probe} is called by one thread;
 * the other methods are thread-safe.
 */
final class UpstreamMonitor {
  /** Is told of each crash, before the runs that it ended. */
  interface CrashListener {
    /** Takes a report. */
    void crashed(CrashReport report);
  }

  private final String crashIdPrefix;
  private final UpstreamCalls upstream;
  private final AdmissionGate gate;
  private final Runs runs;
  private final BooleanSupplier cancelsWork;
  private final CrashListener listener;
  private final LongSupplier clock;
  private final List<ServedRequest> aborted = new ArrayList<>();
  private Runnable wakeUp = () -> {};
  private boolean healthy;
  private long crashes;

  UpstreamMonitor(
      SidecarSettings settings,
      UpstreamCalls upstream,
      AdmissionGate gate,
      Runs runs,
      BooleanSupplier cancelsWork,
      CrashListener listener,
      LongSupplier clock) {
    this.crashIdPrefix = settings.id() + "." + settings.incarnation() + ".";
    this.upstream = upstream;
    this.gate = gate;
    this.runs = runs;
    this.cancelsWork = cancelsWork;
    this.listener = listener;
    this.clock = clock;
  }

  /** Sets what asks for an early probe. */
  synchronized void onWakeUp(Runnable action) {
    wakeUp = action;
  }

  /** Notes that the connection of a run broke. */
  void aborted(ServedRequest run) {
    Runnable wake;
    synchronized (this) {
      aborted.add(run);
      wake = wakeUp;
    }
    wake.run();
  }

  /** Checks the health once and settles the runs whose connections broke. Blocks. */
  void probe() {
    // Taken before the check, so that a run that breaks during it is judged by the next one.
    ImmutableList<ServedRequest> broken = takeAborted();
    if (upstream.isHealthy()) {
      broken.forEach(
          run ->
              run.fail(
                  ErrorCode.ENGINE_ERROR,
                  Verdict.MAY_HAVE_RUN,
                  "the upstream broke the connection of this request"));
      becomeHealthy();
      return;
    }
    becomeUnhealthy();
    if (!broken.isEmpty()) {
      crash();
    }
  }

  private synchronized ImmutableList<ServedRequest> takeAborted() {
    ImmutableList<ServedRequest> taken = ImmutableList.copyOf(aborted);
    aborted.clear();
    return taken;
  }

  private void becomeHealthy() {
    if (!healthy && (!cancelsWork.getAsBoolean() || upstream.cancelAll())) {
      healthy = true;
      gate.setHealthy(true);
      EventLog.emit(LogEvent.UPSTREAM_HEALTHY);
    }
  }

  private void becomeUnhealthy() {
    if (healthy) {
      healthy = false;
      gate.setHealthy(false);
      EventLog.emit(LogEvent.UPSTREAM_UNHEALTHY);
    }
  }

  private void crash() {
    ImmutableSet<ServedRequest> ended = runs.inFlight();
    ImmutableSet<Fingerprint> fingerprints =
        ended.stream().map(ServedRequest::fingerprint).collect(ImmutableSet.toImmutableSet());
    crashes++;
    EventLog.emit(LogEvent.UPSTREAM_CRASHED, "inFlight", ended.size());
    // The quarantine is told first: an entry that hears of the failure may send the request again.
    listener.crashed(new CrashReport(crashIdPrefix + crashes, fingerprints, clock.getAsLong()));
    ended.forEach(
        run -> run.fail(ErrorCode.ENGINE_CRASHED, Verdict.MAY_HAVE_RUN, "the upstream crashed"));
  }
}
