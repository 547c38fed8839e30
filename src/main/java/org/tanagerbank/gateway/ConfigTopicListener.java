package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Optional;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.store.FleetStore;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.TopicListener;

/**
 * Adopts newer configurations that the store delivers, and logs unreadable ones. Confined to the
 * event loop.
 */
final class ConfigTopicListener implements TopicListener {
  private final FleetStore store;
  private final ConfigState configState;
  private final Runnable onAdopted;
  private final Runnable onCurrent;

  ConfigTopicListener(
      FleetStore store, ConfigState configState, Runnable onAdopted, Runnable onCurrent) {
    this.store = store;
    this.configState = configState;
    this.onAdopted = onAdopted;
    this.onCurrent = onCurrent;
  }

  @Override
  public void onSnapshot(ImmutableList<KeyedRecord> records) {
    onRecords(records);
  }

  @Override
  public void onRecords(ImmutableList<KeyedRecord> records) {
    records.forEach(this::adoptIfNewer);
  }

  private void adoptIfNewer(KeyedRecord keyedRecord) {
    try {
      Optional<RoutingConfig> config = store.decodeConfig(keyedRecord);
      if (config.isPresent() && configState.adopt(config.get())) {
        EventLog.emit(
            LogEvent.ROUTING_CONFIG_ADOPTED,
            "version",
            config.get().version(),
            "routes",
            config.get().routes().size());
        onAdopted.run();
      }
    } catch (IOException | IllegalArgumentException e) {
      EventLog.emit(LogEvent.ROUTING_CONFIG_UNREADABLE, "error", e.getMessage());
    }
  }

  @Override
  public void onCurrentAsOf(long atMillis) {
    configState.confirmCurrentAsOf(atMillis);
    onCurrent.run();
  }

  @Override
  public void onStoreLost(String reason) {
    EventLog.emit(LogEvent.STORE_LOST, "topic", "configuration", "reason", reason);
  }

  @Override
  public void onStoreRegained(long atMillis) {
    EventLog.emit(LogEvent.STORE_REGAINED, "topic", "configuration");
  }
}
