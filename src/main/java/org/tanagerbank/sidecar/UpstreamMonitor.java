package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.Verdict;

/**
 * Checks the health of the upstream and detects its crashes.
 *
 * <p>If a run's connection broke and the upstream fails its health check, the upstream has crashed
 * and all runs in flight have failed. If the upstream passes the health check, only the run whose
 * connection broke has failed, or has ended if its response came without a length or chunks. Before
 * an engine that was not healthy becomes healthy, all work that it may still have is cancelled,
 * including the work that an earlier incarnation of the sidecar left behind. Calls of {@link
 * #probe} must not overlap; the other methods are thread-safe.
 */
final class UpstreamMonitor {
  /** Receives the crashes of the upstream. */
  interface CrashListener {
    /** Called once for each crash, before the runs that it ended fail. */
    void onCrash(CrashReport report);
  }

  private final String crashIdPrefix;
  private final UpstreamClient upstream;
  private final AdmissionController admission;
  private final ActiveRuns runs;
  private final BooleanSupplier cancelsLeftoverWork;
  private final CrashListener listener;
  private final LongSupplier clock;
  private final List<UpstreamRun> disconnectedRuns = new ArrayList<>();
  private Runnable probeTrigger = () -> {};
  private boolean healthy;
  private long crashCount;

  UpstreamMonitor(
      SidecarSettings settings,
      UpstreamClient upstream,
      AdmissionController admission,
      ActiveRuns runs,
      BooleanSupplier cancelsLeftoverWork,
      CrashListener listener,
      LongSupplier clock) {
    this.crashIdPrefix = settings.id() + "." + settings.incarnation() + ".";
    this.upstream = upstream;
    this.admission = admission;
    this.runs = runs;
    this.cancelsLeftoverWork = cancelsLeftoverWork;
    this.listener = listener;
    this.clock = clock;
  }

  /** Sets the action that requests a probe before the next periodic one. */
  synchronized void setProbeTrigger(Runnable action) {
    probeTrigger = action;
  }

  /** Records that the connection of a run broke, and requests a probe. */
  void recordConnectionLoss(UpstreamRun run) {
    Runnable trigger;
    synchronized (this) {
      disconnectedRuns.add(run);
      trigger = probeTrigger;
    }
    trigger.run();
  }

  /** Checks the health once, and ends the runs whose connections broke before. Blocks. */
  void probe() {
    // The runs are taken before the health check. The check may have passed before a connection
    // that breaks meanwhile, so such a run is left to the next probe.
    ImmutableList<UpstreamRun> disconnected = takeDisconnectedRuns();
    if (upstream.isHealthy()) {
      disconnected.forEach(UpstreamRun::upstreamSurvived);
      becomeHealthy();
      return;
    }
    becomeUnhealthy();
    if (!disconnected.isEmpty()) {
      handleCrash();
    }
  }

  private synchronized ImmutableList<UpstreamRun> takeDisconnectedRuns() {
    ImmutableList<UpstreamRun> taken = ImmutableList.copyOf(disconnectedRuns);
    disconnectedRuns.clear();
    return taken;
  }

  private void becomeHealthy() {
    if (!healthy && (!cancelsLeftoverWork.getAsBoolean() || upstream.cancelAll())) {
      healthy = true;
      admission.setHealthy(true);
      EventLog.emit(LogEvent.UPSTREAM_HEALTHY);
    }
  }

  private void becomeUnhealthy() {
    if (healthy) {
      healthy = false;
      admission.setHealthy(false);
      EventLog.emit(LogEvent.UPSTREAM_UNHEALTHY);
    }
  }

  private void handleCrash() {
    ImmutableSet<UpstreamRun> ended = runs.inFlight();
    ImmutableSet<Fingerprint> fingerprints =
        ended.stream().map(UpstreamRun::fingerprint).collect(ImmutableSet.toImmutableSet());
    crashCount++;
    EventLog.emit(LogEvent.UPSTREAM_CRASHED, "inFlight", ended.size());
    // The quarantine must have the report before the runs fail, because an entry may send a failed
    // request again at once.
    listener.onCrash(new CrashReport(crashIdPrefix + crashCount, fingerprints, clock.getAsLong()));
    ended.forEach(
        run ->
            run.fail(
                ErrorCode.ENGINE_CRASHED,
                Verdict.MAY_HAVE_RUN,
                "the upstream crashed while it ran the request"));
  }
}
