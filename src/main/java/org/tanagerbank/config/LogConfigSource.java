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
import org.tanagerbank.configreplica.AdoptedConfig;
import org.tanagerbank.configreplica.ConfigOffer;
import org.tanagerbank.configreplica.ConfigRecord;
import org.tanagerbank.configreplica.ConfigRecordCodec;
import org.tanagerbank.configreplica.ConfigReplica;
import org.tanagerbank.configreplica.ConfigSource;
import org.tanagerbank.configreplica.RecordDecision;
import org.tanagerbank.configreplica.SnapshotPolicy;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * Provides the configuration in force by following stream {@code config} of the log.
 *
 * <p>The configurations that are read first are usually outdated. Until the source has reached the
 * end of the log for the first time, it therefore provides a configuration from the log only if it
 * cannot read on. It fetches offers from peers while the log cannot be read, contains a record of
 * an unsupported format version, or retains no record to start from. If one read returns several
 * changes, listeners receive only the last one.
 *
 * <p>Thread-safe. Listeners are called with the monitor of the replica held, on the reader thread
 * or on the thread that calls {@link #offer} or {@link #subscribe}; they must not block.
 */
public final class LogConfigSource implements ConfigSource, Lifecycle {
  /**
   * The least time between two snapshots of this instance. It is longer than an appended record
   * takes to be read back from the log, so that an instance does not append a second snapshot
   * before it has read the first one.
   */
  private static final long SNAPSHOT_INTERVAL_MILLIS = 10_000;

  private static final long STOP_TIMEOUT_MILLIS = 5_000;

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
  private Thread readerThread;
  private int consecutiveFailures;
  private long readableSinceMillis;
  private long nextSnapshotMillis;

  /**
   * Creates a source. It reads nothing before {@link #start}.
   *
   * @param liveEntries returns the ids of the live entries, which take turns to append snapshots
   * @param random the source of randomness for the jitter of retry delays
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
    readerThread = new Thread(this::run, "config-reader");
    readerThread.setDaemon(true);
    readerThread.start();
  }

  @Override
  public void stop() {
    stopped.countDown();
    if (readerThread == null) {
      return;
    }
    readerThread.interrupt();
    try {
      readerThread.join(STOP_TIMEOUT_MILLIS);
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
      current.ifPresent(config -> notifyListener(listener, config));
    }
  }

  /** Applies a configuration that a peer offers, and returns whether it was adopted. */
  public boolean offer(ConfigOffer offer) {
    synchronized (replica) {
      boolean adopted = replica.offer(offer);
      if (adopted) {
        updateCurrent("peer");
      }
      return adopted;
    }
  }

  private void run() {
    while (stopped.getCount() > 0) {
      try {
        long delayMillis = readOnce();
        if (delayMillis > 0 && stopped.await(delayMillis, TimeUnit.MILLISECONDS)) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        // The thread must survive any failure. Without it, the configuration would no longer change
        // and nothing would report that.
        EventLog.emit(LogEvent.CONFIG_READER_FAILED, e);
        consecutiveFailures++;
        waitAfterFailure(e);
      }
    }
  }

  private void waitAfterFailure(RuntimeException failure) {
    try {
      stopped.await(nextRetryDelayMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      failure.addSuppressed(e);
    }
  }

  /** Reads one page and returns how long to wait before the next read, in milliseconds. */
  private long readOnce() throws InterruptedException {
    try {
      List<RecordDecision> decisions = follower.readPage(reachedEnd ? settings.pollMillis() : 0);
      recordReadSuccess();
      decisions.forEach(LogConfigSource::logDecision);
    } catch (TanagerException e) {
      if (stopped.getCount() == 0) {
        return 0;
      }
      recordReadFailure(e);
      fetchFromPeers();
      return nextRetryDelayMillis();
    }
    reachedEnd |= follower.isAtEnd();
    if (reachedEnd) {
      synchronized (replica) {
        updateCurrent("log");
      }
      appendSnapshotIfDue();
    }
    return delayAfterReadMillis();
  }

  private long delayAfterReadMillis() throws InterruptedException {
    boolean blocked;
    synchronized (replica) {
      blocked = replica.isStalled() || (follower.isAtEnd() && !replica.isFollowing());
    }
    if (blocked) {
      fetchFromPeers();
      return settings.maxRetryMillis();
    }
    return 0;
  }

  private void recordReadSuccess() {
    if (consecutiveFailures > 0) {
      EventLog.emit(
          LogEvent.LOG_OUTAGE_ENDED,
          "stream",
          ConfigRecord.STREAM,
          "failures",
          consecutiveFailures);
      consecutiveFailures = 0;
      readableSinceMillis = System.currentTimeMillis();
    }
  }

  private void recordReadFailure(TanagerException e) {
    if (consecutiveFailures == 0) {
      EventLog.emit(LogEvent.LOG_OUTAGE_BEGAN, e, "stream", ConfigRecord.STREAM);
    }
    consecutiveFailures++;
  }

  private void fetchFromPeers() throws InterruptedException {
    long currentRevision;
    synchronized (replica) {
      currentRevision = replica.inForce().revision();
      // A configuration that was read before the outage is better than none, even if outdated.
      updateCurrent("log");
    }
    peers.fetch(currentRevision).stream()
        .sorted(Comparator.comparingLong(ConfigOffer::revision).reversed())
        .forEach(this::offer);
  }

  private void updateCurrent(String origin) {
    Optional<AdoptedConfig> next = replica.inForce().toConfig();
    long currentRevision = current.map(AdoptedConfig::revision).orElse(0L);
    if (next.isEmpty() || next.get().revision() <= currentRevision) {
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
    listeners.forEach(listener -> notifyListener(listener, next.get()));
  }

  private static void notifyListener(Consumer<AdoptedConfig> listener, AdoptedConfig config) {
    try {
      listener.accept(config);
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.CONFIG_LISTENER_FAILED, e, "revision", config.revision());
    }
  }

  private void appendSnapshotIfDue() {
    long now = System.currentTimeMillis();
    if (settings.instanceId().isEmpty() || now < nextSnapshotMillis) {
      return;
    }
    ConfigRecord.Snapshot snapshot;
    synchronized (replica) {
      long startOffset = replica.startPoint().offset();
      int rank = SnapshotPolicy.rank(settings.instanceId(), liveEntries.get(), startOffset);
      if (!policy.isDue(replica, follower.firstRetained(), rank, readableSinceMillis, now)) {
        return;
      }
      snapshot = SnapshotPolicy.createSnapshot(replica);
    }
    nextSnapshotMillis = now + SNAPSHOT_INTERVAL_MILLIS;
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

  private static void logDecision(RecordDecision decision) {
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
        // updateCurrent logs an adopted configuration; the other outcomes need no log line.
      }
    }
  }

  private long nextRetryDelayMillis() {
    long maxMillis = settings.maxRetryMillis();
    long delayMillis =
        Math.min(maxMillis, settings.firstRetryMillis() << Math.min(consecutiveFailures, 20));
    return delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
  }
}
