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
import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.entry.ClaimIndex.Binding;
import org.tanagerbank.entry.ClaimIndex.Claim;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Appends claims in batches to stream {@code claims} and follows the stream.
 *
 * <p>A claim is answered with the binding in force once the stream was read up to its own record. A
 * claim whose record is not seen in time fails; that is safe, because nothing was sent for it.
 * State is guarded by this object's monitor, which is not held during calls of the log or of
 * listeners. Thread-safe.
 */
final class ClaimLog implements Lifecycle {
  static final String STREAM = "claims";

  private static final long BATCH_MILLIS = 100;
  private static final long LIMIT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 1_000;
  private static final long POLL_MILLIS = 10_000;
  private static final int PAGE_RECORDS = 500;
  private static final int MAX_BATCH = 1_000;

  /** A read from beyond the end is answered at once and tells which offsets are retained. */
  private static final long BEYOND_END = Long.MAX_VALUE / 2;

  /** The outcome of a claim. */
  interface Listener {
    /** The key is bound. */
    void bound(Binding binding);

    /** The key could not be claimed. */
    void failed(TanagerException error);
  }

  private record Waiting(Claim claim, Listener listener, long since) {}

  private final LogService log;
  private final LongSupplier clock;
  private final ClaimIndex index = new ClaimIndex();
  private final List<Claim> batch = new ArrayList<>();
  private final Map<String, Waiting> waiting = new HashMap<>();
  private final ScheduledExecutorService appender =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "claim-appender"));
  private final Thread follower = daemon(this::follow, "claim-follower");
  private volatile boolean stopped;
  private boolean outage;

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
    follower.start();
    var unused =
        appender.scheduleWithFixedDelay(
            this::flush, BATCH_MILLIS, BATCH_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    stopped = true;
    appender.shutdownNow();
    follower.interrupt();
  }

  /** Binds a key as the claim asks, or finds out what it is bound to. */
  void claim(Claim claim, Listener listener) {
    Optional<Binding> known;
    Optional<TanagerException> full = Optional.empty();
    synchronized (this) {
      known = index.binding(claim.key()).filter(b -> b.offset() != claim.supersedes());
      if (known.isEmpty() && batch.size() >= MAX_BATCH) {
        full = Optional.of(unavailable("too many claims wait for the log"));
      } else if (known.isEmpty()) {
        batch.add(claim);
        waiting.put(claim.nonce(), new Waiting(claim, listener, clock.getAsLong()));
      }
    }
    known.ifPresent(listener::bound);
    full.ifPresent(listener::failed);
  }

  /** Appends the claims that wait, and fails those that waited too long. */
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
      // When the answer was lost, the claims may still be seen on the stream, by their nonces.
      if (e.verdict() == Verdict.NOT_RUN) {
        Set<String> nonces = new HashSet<>();
        claims.forEach(c -> nonces.add(c.nonce()));
        fail(
            w -> nonces.contains(w.claim().nonce()),
            "the log refused the claim: " + e.getMessage());
      }
    }
  }

  private void failOverdue() {
    long limit = clock.getAsLong() - LIMIT_MILLIS;
    fail(w -> w.since() < limit, "the claim was not seen on the log in time");
  }

  private void fail(Predicate<Waiting> which, String message) {
    List<Waiting> failed = new ArrayList<>();
    synchronized (this) {
      waiting.values().stream().filter(which).forEach(failed::add);
      failed.forEach(w -> waiting.remove(w.claim().nonce()));
    }
    failed.forEach(w -> w.listener().failed(unavailable(message)));
  }

  private void follow() {
    long from = 1;
    while (!stopped) {
      try {
        LogPage page = log.read(STREAM, from, PAGE_RECORDS, POLL_MILLIS);
        page.records().forEach(this::take);
        from = Math.max(from, page.next());
        readable(true);
      } catch (TanagerException e) {
        from = e.code() == ErrorCode.RECORDS_EXPIRED ? firstRetained(from) : from;
        readable(e.code() == ErrorCode.RECORDS_EXPIRED);
        pause();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.ENTRY_CONTROL_FAILED, e, "task", "claim-follower");
        pause();
      }
    }
  }

  private long firstRetained(long from) {
    try {
      return log.read(STREAM, BEYOND_END, 1, 0).firstRetained();
    } catch (TanagerException e) {
      return from;
    }
  }

  private void readable(boolean now) {
    if (now == outage && !stopped) {
      outage = !now;
      EventLog.emit(now ? LogEvent.LOG_OUTAGE_ENDED : LogEvent.LOG_OUTAGE_BEGAN, "stream", STREAM);
    }
  }

  private void pause() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }

  private void take(LogRecord record) {
    ImmutableList<Claim> claims;
    try {
      claims = ClaimCodec.decode(record.data());
    } catch (TanagerException e) {
      EventLog.emit(
          LogEvent.CLAIM_RECORD_INVALID, "offset", record.offset(), "detail", e.getMessage());
      return;
    }
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      index.apply(record.offset(), record.timeMillis(), claims);
      for (Claim claim : claims) {
        Waiting own = waiting.remove(claim.nonce());
        if (own != null) {
          Binding binding = index.binding(claim.key()).orElseThrow();
          answers.add(() -> own.listener().bound(binding));
        }
      }
    }
    answers.forEach(Runnable::run);
  }

  private static TanagerException unavailable(String message) {
    return TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, message, RETRY_MILLIS);
  }
}
