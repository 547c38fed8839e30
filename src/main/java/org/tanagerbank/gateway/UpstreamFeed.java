package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.tanagerbank.direct.DirectUpstream;
import org.tanagerbank.dispatch.Dispatcher;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.feed.FleetStore;
import org.tanagerbank.feed.KeyedRecord;
import org.tanagerbank.feed.TopicListener;
import org.tanagerbank.feed.UpstreamDirectory;

/** Takes over what upstreams report to the store. Confined to the event loop. */
final class UpstreamFeed implements TopicListener {
  private final FleetStore store;
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private final Dispatcher dispatcher;
  private final LongSupplier clockMillis;
  private final Set<String> unreadable = new HashSet<>();
  private final Runnable onCurrent;
  private boolean hasSnapshot;

  UpstreamFeed(
      FleetStore store, Dispatcher dispatcher, LongSupplier clockMillis, Runnable onCurrent) {
    this.onCurrent = onCurrent;
    this.store = store;
    this.dispatcher = dispatcher;
    this.clockMillis = clockMillis;
  }

  /** Returns whether the upstreams have been read once. */
  boolean hasSnapshot() {
    return hasSnapshot;
  }

  @Override
  public void snapshot(ImmutableList<KeyedRecord> records) {
    hasSnapshot = true;
    Set<String> ids = records.stream().map(KeyedRecord::key).collect(Collectors.toSet());
    directory.retainOnly(ids, clockMillis.getAsLong());
    records(records);
  }

  @Override
  public void records(ImmutableList<KeyedRecord> records) {
    records.forEach(this::take);
    apply();
  }

  private void take(KeyedRecord keyed) {
    Optional<DirectUpstream> report = store.upstream(keyed);
    if (report.isEmpty() && keyed.value().isPresent() && unreadable.add(keyed.key())) {
      EventLog.emit(LogEvent.UPSTREAM_REPORT_UNREADABLE, "key", keyed.key());
    }
    directory.report(keyed.key(), report, clockMillis.getAsLong());
  }

  /** Passes on the upstreams that exist now; some cease to with time. */
  void apply() {
    if (!hasSnapshot) {
      return;
    }
    dispatcher.updateUpstreams(directory.upstreams(clockMillis.getAsLong()));
  }

  @Override
  public void currentAsOf(long atMillis) {
    // Reports have no time after which they are void: the store removes those of upstreams gone.
    onCurrent.run();
  }

  @Override
  public void lost(String reason) {
    directory.lost();
    EventLog.emit(LogEvent.STORE_LOST, "topic", "upstreams", "reason", reason);
  }

  @Override
  public void regained(long atMillis) {
    directory.regained(atMillis);
    EventLog.emit(LogEvent.STORE_REGAINED, "topic", "upstreams");
  }
}
