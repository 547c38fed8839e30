package org.tanagerbank.store;

import java.io.IOException;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The topics of a deployment's store that the fleet uses, and the decoding of their records.
 *
 * <p>An implementation knows the topic names and the record formats of its store.
 */
public interface FleetStore {
  /** Returns the topic to which the operator writes the configuration and evacuation orders. */
  KeyedTopic configTopic();

  /** Returns the topic to which each upstream writes its reports under its id. */
  KeyedTopic upstreamTopic();

  /** Returns a topic through which the instances of the fleet exchange records. */
  KeyedTopic fleetTopic(String name);

  /**
   * Sets the action that runs with the new era when the store has been restored from an older copy.
   */
  void setRestoredAction(LongConsumer action);

  /**
   * Decodes a record of the configuration topic. Returns nothing when the record is stored under
   * another key than the configuration, or removes it.
   *
   * @throws IOException if the record is stored under the key of the configuration, but its value
   *     is not a valid configuration
   */
  Optional<RoutingConfig> decodeConfig(KeyedRecord keyed) throws IOException;

  /**
   * Returns the zone whose evacuation a record of the configuration topic orders or, without a
   * value, ends. Returns nothing for a record under another key. The zone is an empty text if the
   * key names none.
   */
  Optional<String> evacuationZone(KeyedRecord keyed);

  /** Decodes a record of the upstream topic. Returns nothing for a removal or an invalid report. */
  Optional<UpstreamReport> decodeUpstream(KeyedRecord keyed);
}
