package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.StreamSupport;
import org.tanagerbank.platform.NodeSettings.Limits;
import org.tanagerbank.platform.NodeSettings.ParseResult;
import org.tanagerbank.platformclient.SocketAddresses;

/**
 * Reads the settings file of a process, which the template of the deploy file renders as JSON.
 *
 * <p>Reports all faults of a file at once, and ignores unknown fields. Not thread-safe.
 */
public final class NodeSettingsReader {
  private static final long MILLIS_PER_SECOND = 1_000;

  /** The entry of "contracts" of deployments whose callers compete for too little room. */
  private static final String PRESSURE = "pressure";

  private final List<String> faults = new ArrayList<>();
  private final JsonNode root;

  private NodeSettingsReader(JsonNode root) {
    this.root = root;
  }

  /** Reads a settings file. A file that cannot be read is reported as a fault. */
  public static ParseResult read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      return fault("cannot read the settings file: " + e.getMessage());
    }
  }

  /** Parses the text of a settings file. */
  public static ParseResult parse(String text) {
    try {
      JsonNode root = new ObjectMapper().readTree(text);
      return root.isObject()
          ? new NodeSettingsReader(root).settings()
          : fault("the settings file must hold a JSON object");
    } catch (IOException e) {
      return fault("the settings file is not JSON: " + e.getMessage());
    }
  }

  private static ParseResult fault(String message) {
    return new ParseResult(null, ImmutableList.of(message));
  }

  private ParseResult settings() {
    JsonNode ports = root.path("port-range");
    if (!ports.path(0).isIntegralNumber() || !ports.path(1).isIntegralNumber()) {
      faults.add("port-range: must be an array of two integer ports");
    }
    NodeSettings settings =
        new NodeSettings(
            text("node"),
            text("ip"),
            text("zone"),
            ports.path(0).asInt(),
            ports.path(1).asInt(),
            address("listen", "front"),
            address("listen", "ready"),
            address("platform", "addr"),
            // "bootstrap" is true only at the first start of the whole system.
            root.path("bootstrap").asBoolean(),
            // Upstreams report to the store every "beat-ms".
            root.path("beat-ms").asLong(),
            bounds(),
            regionsByZone(),
            hasContract(PRESSURE));
    return new ParseResult(faults.isEmpty() ? settings : null, ImmutableList.copyOf(faults));
  }

  private boolean hasContract(String name) {
    return StreamSupport.stream(root.path("contracts").spliterator(), false)
        .anyMatch(c -> c.asText().equals(name));
  }

  /** Returns the region of each zone in "zones", and of the own zone if only "region" names it. */
  private ImmutableMap<String, String> regionsByZone() {
    Map<String, String> regions = new HashMap<>();
    if (root.has("region")) {
      regions.put(root.path("zone").asText(), text("region"));
    }
    JsonNode zones = root.path("zones");
    if (!zones.isMissingNode() && !zones.isObject()) {
      faults.add("zones: must be an object that maps zones to regions");
    }
    zones
        .fields()
        .forEachRemaining(
            zone -> {
              if (zone.getValue().isTextual()) {
                regions.put(zone.getKey(), zone.getValue().textValue());
              } else {
                faults.add("zones." + zone.getKey() + ": must be a text");
              }
            });
    return ImmutableMap.copyOf(regions);
  }

  private Limits bounds() {
    return new Limits(
        (long) number("drain-ms"),
        (long) number("config-ms"),
        (long) number("revoke-ms"),
        (long) (number("grace-s") * MILLIS_PER_SECOND),
        (long) number("stable-ms"),
        number("retry-ratio"),
        (long) (number("retry-window-s") * MILLIS_PER_SECOND),
        number("retry-slack"),
        number("cap-x"),
        root.path("bounds").has("evac-ms")
            ? OptionalLong.of((long) number("evac-ms"))
            : OptionalLong.empty(),
        // Settings of platforms without cold upstreams lack these, and tolerate nothing more.
        number("cold-over", 1),
        number("cold-slack", 0));
  }

  private String text(String field) {
    JsonNode value = root.path(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      faults.add(field + ": must be a non-empty text");
    }
    return value.asText();
  }

  private double number(String field, double ifMissing) {
    return root.path("bounds").has(field) ? number(field) : ifMissing;
  }

  private double number(String field) {
    JsonNode value = root.path("bounds").path(field);
    if (!value.isNumber() || value.doubleValue() < 0) {
      faults.add("bounds." + field + ": must be a number that is not negative");
    }
    return value.asDouble();
  }

  private InetSocketAddress address(String object, String field) {
    String value = root.path(object).path(field).asText();
    try {
      return SocketAddresses.parse(value);
    } catch (IllegalArgumentException e) {
      faults.add(object + "." + field + ": must be ip:port, not \"" + value + "\"");
      return null;
    }
  }
}
