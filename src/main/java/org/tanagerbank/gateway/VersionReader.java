package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.store.FleetStore;
import org.tanagerbank.store.HistoryReceiver;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.stream.VersionScan;
import org.tanagerbank.stream.VersionsSeen;

/**
 * Reads the software versions in the reports of upstreams that the store still has. Confined to the
 * event loop.
 */
final class VersionReader {
  private final FleetStore store;
  private final long reportIntervalMillis;

  /**
   * Creates a reader.
   *
   * @param reportIntervalMillis the time between two reports of an upstream, in milliseconds
   */
  VersionReader(FleetStore store, long reportIntervalMillis) {
    this.store = store;
    this.reportIntervalMillis = reportIntervalMillis;
  }

  /**
   * Reads the versions.
   *
   * @param callback called once, with nothing if the store does not answer
   */
  void read(Consumer<Optional<VersionsSeen>> callback) {
    store.upstreamTopic().readHistory(new Receiver(callback));
  }

  private final class Receiver implements HistoryReceiver {
    private final Consumer<Optional<VersionsSeen>> callback;
    private final VersionScan scan = new VersionScan();
    private int records;

    private Receiver(Consumer<Optional<VersionsSeen>> callback) {
      this.callback = callback;
    }

    @Override
    public void onPage(ImmutableList<KeyedRecord> page) {
      records += page.size();
      page.stream().flatMap(r -> store.decodeUpstream(r).stream()).forEach(scan::add);
    }

    @Override
    public void onEnd(boolean isWhole) {
      VersionsSeen seen = scan.versionsSeen(reportIntervalMillis, isWhole);
      EventLog.emit(
          LogEvent.VERSIONS_READ,
          "records",
          records,
          "versions",
          seen.origins().size(),
          "coveredMillis",
          seen.coveredMillis());
      callback.accept(Optional.of(seen));
    }

    @Override
    public void onFailure(String reason) {
      EventLog.emit(LogEvent.VERSIONS_NOT_READ, "reason", reason);
      callback.accept(Optional.empty());
    }
  }
}
