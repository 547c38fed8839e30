package org.tanagerbank.feed;

import java.io.IOException;
import java.util.Optional;
import org.tanagerbank.direct.DirectUpstream;
import org.tanagerbank.route.RoutingConfig;

/** What a deployment's store holds for the fleet, and how its records are read. */
public interface FleetStore {
  /** Returns the topic that holds the configuration. */
  KeyedTopic configTopic();

  /** Returns the topic in which upstreams report, each under its id. */
  KeyedTopic upstreamTopic();

  /** Returns a topic in which instances of the fleet tell each other something. */
  KeyedTopic fleetTopic(String name);

  /**
   * Returns the configuration that a record of the configuration topic holds, or nothing when the
   * record holds something else.
   *
   * @throws IOException if the record ought to be a configuration and is not
   */
  Optional<RoutingConfig> config(KeyedRecord keyed) throws IOException;

  /** Returns the upstream that a record of the upstream topic names, if it names one. */
  Optional<DirectUpstream> upstream(KeyedRecord keyed);
}
