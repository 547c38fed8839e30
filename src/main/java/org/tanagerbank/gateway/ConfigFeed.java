package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Optional;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.feed.FleetStore;
import org.tanagerbank.feed.KeyedRecord;
import org.tanagerbank.feed.TopicListener;
import org.tanagerbank.route.RoutingConfig;

/** Takes over configurations from the store. Confined to the event loop. */
final class ConfigFeed implements TopicListener {
  private final FleetStore store;
  private final ConfigState state;
  private final Runnable onAdopted;
  private final Runnable onCurrent;

  ConfigFeed(FleetStore store, ConfigState state, Runnable onAdopted, Runnable onCurrent) {
    this.store = store;
    this.state = state;
    this.onAdopted = onAdopted;
    this.onCurrent = onCurrent;
  }

  @Override
  public void snapshot(ImmutableList<KeyedRecord> records) {
    records(records);
  }

  @Override
  public void records(ImmutableList<KeyedRecord> records) {
    records.forEach(this::take);
  }

  private void take(KeyedRecord keyed) {
    try {
      Optional<RoutingConfig> config = store.config(keyed);
      if (config.isPresent() && state.adopt(config.get())) {
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
  public void currentAsOf(long atMillis) {
    state.currentAsOf(atMillis);
    onCurrent.run();
  }

  @Override
  public void lost(String reason) {
    EventLog.emit(LogEvent.STORE_LOST, "topic", "configuration", "reason", reason);
  }

  @Override
  public void regained(long atMillis) {
    EventLog.emit(LogEvent.STORE_REGAINED, "topic", "configuration");
  }
}
