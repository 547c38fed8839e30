package org.tanagerbank.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableSet;
import org.tanagerbank.http.Json;
import org.tanagerbank.rollout.ConfigVersion;

/**
 * The records that the operator writes to the store, for experiments. Stateless and thread-safe.
 */
public final class OperatorRecords {
  /** The topic and the key under which the operator writes its configuration. */
  public static final String TOPIC = "keyed.op";

  public static final String CONFIG_KEY = "config";

  private static final int TIMEOUT_MILLIS = 3_000;
  private static final int OBJECTIVE_MILLIS = 300;
  private static final int MAX_CONNECTIONS = 100;
  private static final int ATTEMPTS = 3;

  private OperatorRecords() {}

  /**
   * Returns the record of a version.
   *
   * @param host the host of all routes
   */
  public static byte[] config(ConfigVersion version, String host) {
    ObjectNode config = Json.object().put("version", version.number());
    ArrayNode routes = config.putArray("routes");
    version
        .services()
        .forEach(
            (name, service) ->
                routes
                    .addObject()
                    .put("name", name)
                    .put("host", host)
                    .put("path-prefix", "/" + name + "/")
                    .put("type", "idempotent")
                    .put("timeout-ms", TIMEOUT_MILLIS)
                    .put("slo-ms", OBJECTIVE_MILLIS)
                    .put("service", service)
                    .put("public", ConfigVersion.isPublic(name))
                    .put("attempts", ATTEMPTS));
    addServices(config.putArray("services"), version.services().values());
    ArrayNode keys = config.putArray("tenants").addObject().put("name", "w").putArray("api-keys");
    version.keys().forEach(keys::add);
    return Json.bytes(config);
  }

  private static void addServices(ArrayNode services, ImmutableCollection<String> names) {
    ImmutableSet.copyOf(names)
        .forEach(n -> services.addObject().put("name", n).put("max-conns", MAX_CONNECTIONS));
  }
}
