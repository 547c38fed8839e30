package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.tanagerbank.entry.ClaimIndex.Binding;
import org.tanagerbank.entry.ClaimIndex.Claim;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Appends claims in batches to stream {@code claims} and reads the stream continuously.
 *
 * <p>A claim is answered with the current binding of its key once the stream has been read up to
 * the record of the claim. A claim whose record does not appear in time fails; that is safe,
 * because the request has not been sent yet. State is guarded by this object's monitor, which is
 * not held while the log or a listener is called. Thread-safe.
 */
final class ClaimLog implements Lifecycle {
  static final String STREAM = "claims";

  /** The time in milliseconds between two appends of queued claims. */
  private static final long BATCH_INTERVAL_MILLIS = 100;

  /** The time in milliseconds after which a claim that has not appeared on the log fails. */
  private static final long CLAIM_TIMEOUT_MILLIS = 5_000;

  /** The pause in milliseconds after a failed read, and the retry delay given to callers. */
  private static final long RETRY_DELAY_MILLIS = 1_000;

  /** The longest time in milliseconds that a read waits for new records. */
  private static final long POLL_TIMEOUT_MILLIS = 10_000;

  private static final int PAGE_RECORDS = 500;

  /** The most claims that may be queued for the next append. */
  private static final int MAX_BATCH = 1_000;

  /**
   * An offset beyond the end of any stream. A read from it returns immediately, and the page names
   * the first retained offset.
   */
  private static final long OFFSET_BEYOND_END = Long.MAX_VALUE / 2;

  /** Receives the result of a claim; exactly one method is called, once. */
  interface Listener {
    /** Called when the key is bound. */
    void bound(Binding binding);

    /** Called when the key could not be claimed. */
    void failed(TanagerException error);
  }

  private record PendingClaim(Claim claim, Listener listener, long sinceMillis) {}

  private final LogService log;
  private final LongSupplier clock;
  private final ClaimIndex index = new ClaimIndex();
  private final List<Claim> batch = new ArrayList<>();
  private final Map<String, PendingClaim> pending = new HashMap<>();
  private final ScheduledExecutorService appender =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "claim-appender"));
  private final Thread reader = daemon(this::readStream, "claim-follower");
  private volatile boolean stopped;
  private boolean inOutage;

  ClaimLog(LogService log, LongSupplier clock) {
    this.log = log;
    this.clock = clock;
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public void start() {
    reader.start();
    var unused =
        appender.scheduleWithFixedDelay(
            this::flush, BATCH_INTERVAL_MILLIS, BATCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    stopped = true;
    appender.shutdownNow();
    reader.interrupt();
  }

  /**
   * Appends a claim and reports the resulting binding of its key. If the key already has a binding
   * that the claim does not supersede, reports that binding without an append.
   */
  void claim(Claim claim, Listener listener) {
    Optional<Binding> known;
    Optional<TanagerException> rejection = Optional.empty();
    synchronized (this) {
      known = index.binding(claim.key()).filter(b -> b.offset() != claim.supersedes());
      if (known.isEmpty() && batch.size() >= MAX_BATCH) {
        rejection =
            Optional.of(
                unavailable(
                    MAX_BATCH + " claims are already queued for the log, which is the limit"));
      } else if (known.isEmpty()) {
        batch.add(claim);
        pending.put(claim.nonce(), new PendingClaim(claim, listener, clock.getAsLong()));
      }
    }
    known.ifPresent(listener::bound);
    rejection.ifPresent(listener::failed);
  }

  /**
   * Appends the queued claims as one record, and fails the claims that have been pending for too
   * long.
   */
  private void flush() {
    try {
      ImmutableList<Claim> claims;
      synchronized (this) {
        claims = ImmutableList.copyOf(batch);
        batch.clear();
      }
      if (!claims.isEmpty()) {
        append(claims);
      }
      failOverdue();
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.ENTRY_CONTROL_FAILED, e, "task", "claim-appender");
    }
  }

  private void append(ImmutableList<Claim> claims) {
    try {
      log.append(STREAM, ClaimCodec.encode(claims));
    } catch (TanagerException e) {
      // Unless the verdict is NOT_RUN, the record may have been appended. The claims stay pending
      // and are recognized on the stream by their nonces.
      if (e.verdict() == Verdict.NOT_RUN) {
        Set<String> nonces = new HashSet<>();
        claims.forEach(c -> nonces.add(c.nonce()));
        fail(
            w -> nonces.contains(w.claim().nonce()),
            "the log rejected the claim: " + e.getMessage());
      }
    }
  }

  private void failOverdue() {
    long limit = clock.getAsLong() - CLAIM_TIMEOUT_MILLIS;
    fail(
        w -> w.sinceMillis() < limit,
        "the claim did not appear on the log within " + CLAIM_TIMEOUT_MILLIS + " ms");
  }

  private void fail(Predicate<PendingClaim> condition, String message) {
    List<PendingClaim> failed = new ArrayList<>();
    synchronized (this) {
      pending.values().stream().filter(condition).forEach(failed::add);
      failed.forEach(w -> pending.remove(w.claim().nonce()));
    }
    failed.forEach(w -> w.listener().failed(unavailable(message)));
  }

  private void readStream() {
    long from = 1;
    while (!stopped) {
      try {
        LogPage page = log.read(STREAM, from, PAGE_RECORDS, POLL_TIMEOUT_MILLIS);
        page.records().forEach(this::applyRecord);
        from = Math.max(from, page.nextOffset());
        reportReadable(true);
      } catch (TanagerException e) {
        from = e.code() == ErrorCode.RECORDS_EXPIRED ? firstRetained(from) : from;
        reportReadable(e.code() == ErrorCode.RECORDS_EXPIRED);
        pause();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.ENTRY_CONTROL_FAILED, e, "task", "claim-follower");
        pause();
      }
    }
  }

  private long firstRetained(long from) {
    try {
      return log.read(STREAM, OFFSET_BEYOND_END, 1, 0).firstRetained();
    } catch (TanagerException e) {
      return from;
    }
  }

  private void reportReadable(boolean isReadable) {
    if (isReadable == inOutage && !stopped) {
      inOutage = !isReadable;
      EventLog.emit(
          isReadable ? LogEvent.LOG_OUTAGE_ENDED : LogEvent.LOG_OUTAGE_BEGAN, "stream", STREAM);
    }
  }

  private void pause() {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }

  private void applyRecord(LogRecord record) {
    ImmutableList<Claim> claims;
    try {
      claims = ClaimCodec.decode(record.data());
    } catch (TanagerException e) {
      EventLog.emit(
          LogEvent.CLAIM_RECORD_INVALID, "offset", record.offset(), "detail", e.getMessage());
      return;
    }
    List<Runnable> notifications = new ArrayList<>();
    synchronized (this) {
      index.apply(record.offset(), record.timeMillis(), claims);
      for (Claim claim : claims) {
        PendingClaim ownClaim = pending.remove(claim.nonce());
        if (ownClaim != null) {
          Binding binding = index.binding(claim.key()).orElseThrow();
          notifications.add(() -> ownClaim.listener().bound(binding));
        }
      }
    }
    notifications.forEach(Runnable::run);
  }

  private static TanagerException unavailable(String message) {
    return TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, message, RETRY_DELAY_MILLIS);
  }
}
