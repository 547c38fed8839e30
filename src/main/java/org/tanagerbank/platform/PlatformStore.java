package org.tanagerbank.platform;

import java.io.IOException;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.store.FleetStore;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The topics of the platform's metadata store that the fleet uses. Confined to the event loop of
 * its client.
 */
public final class PlatformStore implements FleetStore {
  /**
   * The topic to which the operator writes the configuration, under {@link #CONFIG_KEY}, and the
   * orders to evacuate zones.
   */
  private static final String OPERATOR_TOPIC = "keyed.op";

  private static final String CONFIG_KEY = "config";

  /** The prefix of the keys under which the operator orders the evacuation of a zone. */
  private static final String EVACUATION_KEY_PREFIX = "evacuate/";

  /** The topic to which each upstream writes its reports, under its id. */
  private static final String UPSTREAM_TOPIC = "keyed.servers";

  private static final String FLEET_TOPIC_PREFIX = "keyed.tanagerbank-";

  private final StoreClient client;

  private PlatformStore(StoreClient client) {
    this.client = client;
  }

  /** Returns a store that is accessed through a client. */
  public static PlatformStore create(StoreClient client) {
    return new PlatformStore(client);
  }

  @Override
  public KeyedTopic configTopic() {
    return client.keyedTopic(OPERATOR_TOPIC);
  }

  @Override
  public KeyedTopic upstreamTopic() {
    return client.keyedTopic(UPSTREAM_TOPIC);
  }

  @Override
  public KeyedTopic fleetTopic(String name) {
    return client.keyedTopic(FLEET_TOPIC_PREFIX + name);
  }

  @Override
  public void setRestoredAction(LongConsumer action) {
    client.setRestoredAction(action);
  }

  @Override
  public Optional<RoutingConfig> decodeConfig(KeyedRecord keyed) throws IOException {
    if (!keyed.key().equals(CONFIG_KEY) || keyed.value().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(ConfigDecoder.decode(keyed.value().get()));
  }

  @Override
  public Optional<String> evacuationZone(KeyedRecord keyed) {
    return keyed.key().startsWith(EVACUATION_KEY_PREFIX)
        ? Optional.of(keyed.key().substring(EVACUATION_KEY_PREFIX.length()))
        : Optional.empty();
  }

  @Override
  public Optional<UpstreamReport> decodeUpstream(KeyedRecord keyed) {
    return keyed.value().flatMap(v -> UpstreamDecoder.decode(keyed.key(), v));
  }
}
