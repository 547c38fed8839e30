package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.store.Scheduler;
import org.tanagerbank.stream.VersionsSeen;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The software versions that upstreams had lately, also before this instance followed their
 * reports.
 *
 * <p>After the loss of all instances nobody remembers them, but the store still has the reports of
 * the last seconds. They are read when a decision rests on them, not at each start, and not before
 * every other instance that has survived was heard: what it remembers of a stream goes first. At
 * most one read is in progress, and a pause follows each. Confined to the event loop.
 */
public final class UpstreamVersions {
  /** Several times the time that the store takes to answer. */
  private static final long MAX_WAIT_MILLIS = 300;

  private static final long PAUSE_MILLIS = 1_000;

  /** The time after a start by which another instance has been heard or counts as lost. */
  private static final long OTHERS_HEARD_MILLIS = 1_500;

  private final VersionHistory versions;
  private final Scheduler scheduler;
  private final LongSupplier clockMillis;
  private final List<Runnable> waiters = new ArrayList<>();
  private Consumer<Consumer<Optional<VersionsSeen>>> reader =
      callback -> callback.accept(Optional.empty());
  private boolean isReading;
  private long readAtMillis = Long.MIN_VALUE / 2;

  UpstreamVersions(VersionHistory versions, Scheduler scheduler, LongSupplier clockMillis) {
    this.versions = versions;
    this.scheduler = scheduler;
    this.clockMillis = clockMillis;
  }

  /** Records a report of an upstream, which may be replaced before the list is updated. */
  public void recordReport(UpstreamReport report) {
    versions.record(ImmutableList.of(report), clockMillis.getAsLong());
  }

  /** Records that reports of upstreams may have been missed since the last ones. */
  public void recordMissedReports() {
    versions.restart(clockMillis.getAsLong());
  }

  /** Sets what reads the versions in the reports that the store still has. */
  public void setReader(Consumer<Consumer<Optional<VersionsSeen>>> newReader) {
    reader = newReader;
  }

  /**
   * Waits until the store was read if that could tell of more versions.
   *
   * @param callback called exactly once, possibly before this method returns
   */
  void await(Runnable callback) {
    long now = clockMillis.getAsLong();
    if (versions.isComplete(now) || !mayRead(now)) {
      callback.run();
      return;
    }
    waiters.add(callback);
    scheduler.schedule(() -> giveUp(callback), MAX_WAIT_MILLIS);
    if (!isReading) {
      isReading = true;
      reader.accept(seen -> onRead(seen, now));
    }
  }

  private boolean mayRead(long now) {
    return versions.recordedMillis(now) >= OTHERS_HEARD_MILLIS
        && (isReading || now - readAtMillis >= PAUSE_MILLIS);
  }

  private void onRead(Optional<VersionsSeen> seen, long startedAtMillis) {
    isReading = false;
    readAtMillis = clockMillis.getAsLong();
    seen.ifPresent(s -> versions.recordSeen(s, startedAtMillis));
    ImmutableList<Runnable> ready = ImmutableList.copyOf(waiters);
    waiters.clear();
    ready.forEach(Runnable::run);
  }

  private void giveUp(Runnable callback) {
    if (waiters.remove(callback)) {
      callback.run();
    }
  }
}
