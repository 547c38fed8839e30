package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tanagerbank.dispatch.Dispatcher;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.store.FleetStore;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.TopicListener;
import org.tanagerbank.store.UpstreamDirectory;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Applies the reports that upstreams write to the store, and logs each of the first {@link
 * #MAX_FOREIGN_KEYS} keys once whose entry is unreadable or names an unknown service. Confined to
 * the event loop.
 */
final class UpstreamTopicListener implements TopicListener {
  /** The number of keys that are remembered and logged. */
  private static final int MAX_FOREIGN_KEYS = 1_000;

  private final FleetStore store;
  private final UpstreamDirectory directory;
  private final Dispatcher dispatcher;
  private final LongSupplier clockMillis;
  private final Set<String> foreignKeys = new HashSet<>();
  private final Runnable onCurrent;
  private boolean hasSnapshot;

  /**
   * Creates a listener.
   *
   * @param config returns the configuration in use
   * @param onCurrent called when the store has answered
   */
  UpstreamTopicListener(
      FleetStore store,
      Supplier<Optional<RoutingConfig>> config,
      Dispatcher dispatcher,
      LongSupplier clockMillis,
      Runnable onCurrent) {
    this.directory = new UpstreamDirectory(config);
    this.onCurrent = onCurrent;
    this.store = store;
    this.dispatcher = dispatcher;
    this.clockMillis = clockMillis;
  }

  /** Returns whether a first snapshot of the upstreams has been read. */
  boolean hasSnapshot() {
    return hasSnapshot;
  }

  @Override
  public void onSnapshot(ImmutableList<KeyedRecord> records) {
    if (hasSnapshot) {
      dispatcher.upstreamVersions().recordMissedReports();
    }
    hasSnapshot = true;
    Set<String> ids = records.stream().map(KeyedRecord::key).collect(Collectors.toSet());
    directory.retainOnly(ids, clockMillis.getAsLong());
    onRecords(records);
  }

  @Override
  public void onRecords(ImmutableList<KeyedRecord> records) {
    records.forEach(this::applyReport);
    updateDispatcher();
  }

  private void applyReport(KeyedRecord keyedRecord) {
    String key = keyedRecord.key();
    Optional<UpstreamReport> report = store.decodeUpstream(keyedRecord);
    if (report.isEmpty() && keyedRecord.value().isPresent()) {
      logForeign(key, "unreadable");
      directory.applyUnreadable(key, clockMillis.getAsLong());
      return;
    }
    report.filter(r -> !directory.isNamed(r)).ifPresent(r -> logForeign(key, "unknown service"));
    report.ifPresent(dispatcher.upstreamVersions()::recordReport);
    directory.applyRecord(key, report, clockMillis.getAsLong());
  }

  private void logForeign(String key, String reason) {
    if (foreignKeys.size() < MAX_FOREIGN_KEYS && foreignKeys.add(key)) {
      EventLog.emit(LogEvent.UPSTREAM_REPORT_UNREADABLE, "key", key, "reason", reason);
    }
  }

  /**
   * Passes the upstreams that exist now to the dispatcher. To be called regularly, because an
   * upstream whose entry was removed can expire without a further record.
   */
  void updateDispatcher() {
    if (!hasSnapshot) {
      return;
    }
    dispatcher.updateUpstreams(directory.upstreams(clockMillis.getAsLong()));
  }

  @Override
  public void onCurrentAsOf(long atMillis) {
    dispatcher.confirmUpstreamsAsOf(atMillis);
    onCurrent.run();
  }

  @Override
  public void onStoreLost(String reason) {
    directory.markStoreLost();
    EventLog.emit(LogEvent.STORE_LOST, "topic", "upstreams", "reason", reason);
  }

  @Override
  public void onStoreRegained(long atMillis) {
    directory.markStoreRegained(atMillis);
    EventLog.emit(LogEvent.STORE_REGAINED, "topic", "upstreams");
  }
}
