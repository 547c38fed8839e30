package org.tanagerbank.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Finds out which runs were lost because their upstream crashed.
 *
 * <p>A lost connection alone does not show a crash. The upstream has crashed if it then refuses or
 * does not answer a new connection, or if its report says that it started again or is gone. A run
 * that was lost by silence needs the report, because the network may have failed. At most {@link
 * #MAX_PENDING} undecided runs are kept, for {@link #PENDING_MILLIS}. Not thread-safe; confined to
 * the event loop.
 */
final class CrashDetector {
  /** Covers the time until a restart or an end of an upstream shows in its report. */
  private static final long PENDING_MILLIS = 15_000;

  private static final int MAX_PENDING = 2_000;

  /** Receives the runs that were lost in a crash. */
  @FunctionalInterface
  interface Listener {
    /** Called once for each run, with an id of the crash that all instances agree on. */
    void onRunCrashed(TrackedRun run, String crashId);
  }

  private record LostRun(TrackedRun run, long lostAtMillis) {}

  private final Listener listener;
  private final Deque<LostRun> pending = new ArrayDeque<>();
  private final Set<UpstreamHandle> probed = new HashSet<>();

  CrashDetector(Listener listener) {
    this.listener = listener;
  }

  /**
   * Records a run that ended without a result.
   *
   * @param wasClosed whether its connection ended, rather than stayed silent
   */
  void runLost(TrackedRun run, boolean wasClosed, long nowMillis) {
    if (run.upstream().crashes() > run.crashesBefore()) {
      listener.onRunCrashed(run, crashId(run));
      return;
    }
    pending.removeIf(p -> nowMillis - p.lostAtMillis() > PENDING_MILLIS);
    pending.addLast(new LostRun(run, nowMillis));
    if (pending.size() > MAX_PENDING) {
      pending.removeFirst();
    }
    if (wasClosed) {
      probe(run.upstream());
    }
  }

  private void probe(UpstreamHandle upstream) {
    if (probed.add(upstream)) {
      upstream
          .connections()
          .probe(
              isAccepted -> {
                probed.remove(upstream);
                if (!isAccepted) {
                  recordCrash(upstream);
                }
              });
    }
  }

  /** Records that the process of an upstream has ended, by its report. */
  void upstreamEnded(UpstreamHandle upstream) {
    if (!upstream.report().isDraining()) {
      recordCrash(upstream);
    }
  }

  private void recordCrash(UpstreamHandle upstream) {
    upstream.recordCrash();
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
