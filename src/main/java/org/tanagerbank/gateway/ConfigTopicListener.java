package org.tanagerbank.gateway;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.dispatch.EvacuatedZones;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.store.FleetStore;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.TopicListener;
import org.tanagerbank.store.TopicPosition;

/**
 * Adopts newer configurations that the store delivers, applies the operator's evacuation orders,
 * and logs what cannot be read. Confined to the event loop.
 */
final class ConfigTopicListener implements TopicListener {
  private final FleetStore store;
  private final ConfigState configState;
  private final BiConsumer<KeyedRecord, RoutingConfig> onAdopted;
  private final Runnable onCurrent;
  private final EvacuatedZones evacuatedZones;
  private final Supplier<TopicPosition> position;
  private boolean isInvalidKeyLogged;

  /**
   * Creates a listener.
   *
   * @param position returns the position up to which the topic has been read
   * @param onAdopted called with each adopted configuration and its record
   */
  ConfigTopicListener(
      FleetStore store,
      ConfigState configState,
      EvacuatedZones evacuatedZones,
      Supplier<TopicPosition> position,
      BiConsumer<KeyedRecord, RoutingConfig> onAdopted,
      Runnable onCurrent) {
    this.evacuatedZones = evacuatedZones;
    this.position = position;
    this.store = store;
    this.configState = configState;
    this.onAdopted = onAdopted;
    this.onCurrent = onCurrent;
  }

  @Override
  public void onSnapshot(ImmutableList<KeyedRecord> records) {
    // Orders are applied first, so that no request is sent by a configuration without them.
    ImmutableSet<String> ordered =
        records.stream()
            .filter(r -> r.value().isPresent())
            .flatMap(r -> evacuationZone(r).stream())
            .collect(toImmutableSet());
    evacuatedZones.applySnapshot(ordered, position.get());
    records.forEach(this::adoptIfNewer);
  }

  @Override
  public void onRecords(ImmutableList<KeyedRecord> records) {
    for (KeyedRecord keyed : records) {
      evacuationZone(keyed)
          .ifPresent(z -> evacuatedZones.applyRecord(z, keyed.value().isPresent(), position.get()));
      adoptIfNewer(keyed);
    }
  }

  /** Returns the zone that an evacuation order, or its removal, is for. The value is not used. */
  private Optional<String> evacuationZone(KeyedRecord keyed) {
    Optional<String> zone = store.evacuationZone(keyed);
    if (zone.filter(String::isEmpty).isPresent() && !isInvalidKeyLogged) {
      isInvalidKeyLogged = true;
      EventLog.emit(LogEvent.EVACUATION_KEY_INVALID, "key", keyed.key());
    }
    return zone.filter(z -> !z.isEmpty());
  }

  /** Adopts the configuration of a record of the store or of another instance if it is newer. */
  void adoptIfNewer(KeyedRecord keyedRecord) {
    try {
      Optional<RoutingConfig> config = store.decodeConfig(keyedRecord);
      if (config.isPresent() && configState.adopt(config.get())) {
        EventLog.emit(
            LogEvent.ROUTING_CONFIG_ADOPTED,
            "version",
            config.get().version(),
            "routes",
            config.get().routes().size());
        onAdopted.accept(keyedRecord, config.get());
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
