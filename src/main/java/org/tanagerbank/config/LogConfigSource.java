package org.tanagerbank.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.tanagerbank.adoption.AdoptedConfig;
import org.tanagerbank.adoption.ConfigOffer;
import org.tanagerbank.adoption.ConfigRecord;
import org.tanagerbank.adoption.ConfigRecordCodec;
import org.tanagerbank.adoption.ConfigReplica;
import org.tanagerbank.adoption.ConfigSource;
import org.tanagerbank.adoption.RecordDecision;
import org.tanagerbank.adoption.SnapshotPolicy;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Follows stream {@code config} of the log and gives the configuration in force.
 *
 * <p>Before the end of the log was reached once, a configuration is given out only when the log
 * cannot be read: what is read first is usually outdated. While the log cannot be read or retains
 * no place to start from, peers are asked. Changes that arrive in one read are given out as one.
 *
 * <p>Thread-safe. Listeners are called with a lock held, from the reading thread or from a caller
 * of {@link #offer}; they must not block. The replica's monitor is that lock.
 */
public final class LogConfigSource implements ConfigSource, Lifecycle {
  /**
   * Longer than an append takes to come back through the log, so no second one is made meanwhile.
   */
  private static final long SNAPSHOT_PAUSE_MILLIS = 10_000;

  private static final long STOP_WAIT_MILLIS = 5_000;

  private final LogService log;
  private final LogConfigSettings settings;
  private final PeerOffers peers;
  private final Supplier<? extends Collection<String>> liveEntries;
  private final RandomGenerator random;
  private final SnapshotPolicy policy;
  private final ConfigReplica replica = new ConfigReplica();
  private final LogFollower follower;
  private final List<Consumer<AdoptedConfig>> listeners = new CopyOnWriteArrayList<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile Optional<AdoptedConfig> current = Optional.empty();
  private volatile boolean reachedEnd;
  private Thread reader;
  private int failures;
  private long readableSinceMillis;
  private long nextSnapshotMillis;

  /**
   * Creates a source.
   *
   * @param liveEntries gives the ids of the live entries, among which snapshots are assigned
   * @param random the source of jitter in retries
   */
  public LogConfigSource(
      LogService log,
      LogConfigSettings settings,
      PeerOffers peers,
      Supplier<? extends Collection<String>> liveEntries,
      RandomGenerator random) {
    this.log = checkNotNull(log);
    this.settings = checkNotNull(settings);
    this.peers = checkNotNull(peers);
    this.liveEntries = checkNotNull(liveEntries);
    this.random = checkNotNull(random);
    this.policy = new SnapshotPolicy(settings.retentionMillis());
    this.follower = LogFollower.ofRecent(log, replica, settings.pageRecords());
  }

  @Override
  public void start() {
    readableSinceMillis = System.currentTimeMillis();
    reader = new Thread(this::run, "config-reader");
    reader.setDaemon(true);
    reader.start();
  }

  @Override
  public void stop() {
    stopped.countDown();
    if (reader == null) {
      return;
    }
    reader.interrupt();
    try {
      reader.join(STOP_WAIT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public Optional<AdoptedConfig> current() {
    return current;
  }

  @Override
  public void subscribe(Consumer<AdoptedConfig> listener) {
    synchronized (replica) {
      listeners.add(listener);
      current.ifPresent(config -> call(listener, config));
    }
  }

  /**
   * Returns whether the end of the log was reached once. Before that, a missing configuration may
   * only mean that it was not read yet.
   */
  public boolean hasReachedEnd() {
    return reachedEnd;
  }

  /** Takes in a configuration that a peer offers, and returns whether it was adopted. */
  public boolean offer(ConfigOffer offer) {
    synchronized (replica) {
      boolean adopted = replica.offer(offer);
      if (adopted) {
        deliver("peer");
      }
      return adopted;
    }
  }

  private void run() {
    while (stopped.getCount() > 0) {
      try {
        long pause = readOnce();
        if (pause > 0 && stopped.await(pause, TimeUnit.MILLISECONDS)) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        // The thread must outlive any fault; without it the configuration would freeze unseen.
        EventLog.emit(LogEvent.CONFIG_READER_FAILED, e);
        failures++;
        pauseAfter(e);
      }
    }
  }

  private void pauseAfter(RuntimeException fault) {
    try {
      stopped.await(retryMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      fault.addSuppressed(e);
    }
  }

  /** Reads once and returns how long to wait before the next read. */
  private long readOnce() throws InterruptedException {
    try {
      List<RecordDecision> decisions = follower.step(reachedEnd ? settings.pollMillis() : 0);
      readable();
      decisions.forEach(LogConfigSource::report);
    } catch (TanagerException e) {
      if (stopped.getCount() == 0) {
        return 0;
      }
      unreadable(e);
      askPeers();
      return retryMillis();
    }
    reachedEnd |= follower.isAtEnd();
    if (reachedEnd) {
      synchronized (replica) {
        deliver("log");
      }
      appendSnapshotIfDue();
    }
    return afterRead();
  }

  private long afterRead() throws InterruptedException {
    boolean waiting;
    synchronized (replica) {
      waiting = replica.isStalled() || (follower.isAtEnd() && !replica.isFollowing());
    }
    if (waiting) {
      askPeers();
      return settings.maxRetryMillis();
    }
    return 0;
  }

  private void readable() {
    if (failures > 0) {
      EventLog.emit(LogEvent.LOG_OUTAGE_ENDED, "stream", ConfigRecord.STREAM, "failures", failures);
      failures = 0;
      readableSinceMillis = System.currentTimeMillis();
    }
  }

  private void unreadable(TanagerException e) {
    if (failures == 0) {
      EventLog.emit(LogEvent.LOG_OUTAGE_BEGAN, e, "stream", ConfigRecord.STREAM);
    }
    failures++;
  }

  private void askPeers() throws InterruptedException {
    long have;
    synchronized (replica) {
      have = replica.inForce().revision();
      // What was read before the outage is better than nothing, even if it is not the latest.
      deliver("log");
    }
    peers.fetch(have).stream()
        .sorted(Comparator.comparingLong(ConfigOffer::revision).reversed())
        .forEach(this::offer);
  }

  private void deliver(String origin) {
    Optional<AdoptedConfig> next = replica.inForce().toConfig();
    long have = current.map(AdoptedConfig::revision).orElse(0L);
    if (next.isEmpty() || next.get().revision() <= have) {
      return;
    }
    current = next;
    EventLog.emit(
        LogEvent.CONFIG_ADOPTED,
        "revision",
        next.get().revision(),
        "publishId",
        next.get().publishId(),
        "operator",
        replica.inForce().operator(),
        "origin",
        origin);
    listeners.forEach(listener -> call(listener, next.get()));
  }

  private static void call(Consumer<AdoptedConfig> listener, AdoptedConfig config) {
    try {
      listener.accept(config);
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.CONFIG_LISTENER_FAILED, e, "revision", config.revision());
    }
  }

  private void appendSnapshotIfDue() {
    long now = System.currentTimeMillis();
    if (settings.self().isEmpty() || now < nextSnapshotMillis) {
      return;
    }
    ConfigRecord.Snapshot snapshot;
    synchronized (replica) {
      long anchor = replica.anchors().offset();
      int rank = SnapshotPolicy.rank(settings.self(), liveEntries.get(), anchor);
      if (!policy.isDue(replica, follower.firstRetained(), rank, readableSinceMillis, now)) {
        return;
      }
      snapshot = SnapshotPolicy.snapshot(replica);
    }
    nextSnapshotMillis = now + SNAPSHOT_PAUSE_MILLIS;
    try {
      long offset = log.append(ConfigRecord.STREAM, ConfigRecordCodec.encode(snapshot));
      EventLog.emit(
          LogEvent.CONFIG_SNAPSHOT_APPENDED,
          "revision",
          snapshot.revision(),
          "offset",
          offset,
          "asOf",
          snapshot.asOf());
    } catch (TanagerException e) {
      EventLog.emit(LogEvent.CONFIG_SNAPSHOT_FAILED, e, "revision", snapshot.revision());
    }
  }

  private static void report(RecordDecision decision) {
    switch (decision.outcome()) {
      case LOST, INVALID, MALFORMED ->
          EventLog.emit(
              LogEvent.CONFIG_RECORD_IGNORED,
              "offset",
              decision.offset(),
              "outcome",
              decision.outcome(),
              "revision",
              decision.inForce().revision());
      case UNSUPPORTED ->
          EventLog.emit(LogEvent.CONFIG_RECORD_UNSUPPORTED, "offset", decision.offset());
      default -> {
        // Adoption is reported when it is given out; the others are of no interest to operators.
      }
    }
  }

  private long retryMillis() {
    long limit = settings.maxRetryMillis();
    long wait = Math.min(limit, settings.firstRetryMillis() << Math.min(failures, 20));
    return wait / 2 + random.nextLong(wait / 2 + 1);
  }
}
