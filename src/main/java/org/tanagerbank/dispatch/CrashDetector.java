package org.tanagerbank.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.store.Scheduler;
import org.tanagerbank.upstream.ProbeResult;

/**
 * Finds out which runs were lost because their upstream crashed.
 *
 * <p>A lost connection alone does not show a crash. The upstream has crashed if it then refuses or
 * does not answer a new connection, or if its report says that it started again or is gone. A run
 * that was lost by silence needs the report, because the network may have failed. A run that was
 * given up is decided by a check shortly after: an upstream that keeps an idle connection open or
 * accepts a new one has survived it. At most {@link #MAX_PENDING} undecided runs are kept, for
 * {@link #PENDING_MILLIS}. Not thread-safe; confined to the event loop.
 */
final class CrashDetector {
  /** Covers the time until a restart or an end of an upstream shows in its report. */
  private static final long PENDING_MILLIS = 15_000;

  private static final int MAX_PENDING = 2_000;

  /** The time from a run that was given up to the check of its upstream, in milliseconds. */
  private static final long CHECK_DELAY_MILLIS = 500;

  /** Receives the runs that were lost in a crash. */
  @FunctionalInterface
  interface Listener {
    /** Called once for each run, with an id of the crash that all instances agree on. */
    void onRunCrashed(TrackedRun run, String crashId);
  }

  private record LostRun(TrackedRun run, RunLoss loss, long lostAtMillis) {}

  private final Listener listener;
  private final Scheduler scheduler;
  private final LongSupplier clockMillis;
  private final Deque<LostRun> pending = new ArrayDeque<>();
  private final Set<UpstreamHandle> probed = new HashSet<>();
  private final Set<UpstreamHandle> awaitingCheck = new HashSet<>();

  CrashDetector(Listener listener, Scheduler scheduler, LongSupplier clockMillis) {
    this.listener = listener;
    this.scheduler = scheduler;
    this.clockMillis = clockMillis;
  }

  /** Records a run that ended without a result. */
  void runLost(TrackedRun run, RunLoss loss) {
    long now = clockMillis.getAsLong();
    if (run.upstream().crashes() > run.crashesBefore()) {
      listener.onRunCrashed(run, crashId(run));
      return;
    }
    pending.removeIf(p -> now - p.lostAtMillis() > PENDING_MILLIS);
    pending.addLast(new LostRun(run, loss, now));
    if (pending.size() > MAX_PENDING) {
      pending.removeFirst();
    }
    switch (loss) {
      case CLOSED -> probe(run.upstream());
      case GIVEN_UP -> checkLater(run.upstream());
      case SILENT -> {}
      default -> throw new AssertionError("unknown loss");
    }
  }

  private void probe(UpstreamHandle upstream) {
    if (probed.add(upstream)) {
      upstream
          .connections()
          .probe(
              result -> {
                probed.remove(upstream);
                if (result != ProbeResult.ACCEPTED) {
                  recordCrash(upstream);
                }
              });
    }
  }

  private void checkLater(UpstreamHandle upstream) {
    if (awaitingCheck.add(upstream)) {
      scheduler.schedule(() -> check(upstream), CHECK_DELAY_MILLIS);
    }
  }

  private void check(UpstreamHandle upstream) {
    awaitingCheck.remove(upstream);
    if (pending.stream().noneMatch(p -> isGivenUpAt(p, upstream))) {
      return;
    }
    if (upstream.connections().hasIdle()) {
      recordSurvival(upstream);
      return;
    }
    upstream
        .connections()
        .probe(
            result -> {
              switch (result) {
                case ACCEPTED -> recordSurvival(upstream);
                case REFUSED -> recordCrash(upstream);
                case UNANSWERED -> {}
                default -> throw new AssertionError("unknown result");
              }
            });
  }

  /** Drops the runs that an upstream has survived; those given up just now are checked later. */
  private void recordSurvival(UpstreamHandle upstream) {
    long latest = clockMillis.getAsLong() - CHECK_DELAY_MILLIS;
    pending.removeIf(p -> isGivenUpAt(p, upstream) && p.lostAtMillis() <= latest);
    if (pending.stream().anyMatch(p -> isGivenUpAt(p, upstream))) {
      checkLater(upstream);
    }
  }

  private static boolean isGivenUpAt(LostRun lost, UpstreamHandle upstream) {
    return lost.loss() == RunLoss.GIVEN_UP && lost.run().upstream() == upstream;
  }

  /** Records that the process of an upstream has ended, by its report. */
  void upstreamEnded(UpstreamHandle upstream) {
    assignToProcesses();
    if (!upstream.hasAnnouncedEnd()) {
      recordCrash(upstream);
    }
  }

  /** Runs that were sent to a process before its report was read outlived the one before it. */
  private void assignToProcesses() {
    long now = clockMillis.getAsLong();
    List<LostRun> lost = List.copyOf(pending);
    pending.clear();
    lost.forEach(
        p -> pending.add(new LostRun(p.run().atItsProcess(now), p.loss(), p.lostAtMillis())));
  }

  private void recordCrash(UpstreamHandle upstream) {
    upstream.recordCrash(clockMillis.getAsLong());
    List<LostRun> lost = pending.stream().filter(p -> p.run().upstream() == upstream).toList();
    pending.removeAll(lost);
    if (!lost.isEmpty()) {
      EventLog.emit(
          LogEvent.UPSTREAM_CRASHED,
          "upstream",
          upstream.report().id(),
          "startedAt",
          upstream.report().startedAtMillis(),
          "inFlight",
          lost.size());
    }
    lost.forEach(p -> listener.onRunCrashed(p.run(), crashId(p.run())));
  }

  /**
   * An upstream may crash again before its first report after a restart, so the number of crashes
   * that were known is part of the id.
   */
  private static String crashId(TrackedRun run) {
    String name =
        run.upstream().report().id()
            + "/"
            + run.upstream().report().startedAtMillis()
            + "/"
            + run.crashesBefore();
    return Long.toHexString(
        Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong());
  }
}
