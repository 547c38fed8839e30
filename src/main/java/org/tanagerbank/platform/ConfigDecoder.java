package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.RouteTable;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.route.WeightedService;
import org.tanagerbank.route.Workspace;

/**
 * Decodes the routing configuration that the operator writes to the store. Stateless and
 * thread-safe.
 */
final class ConfigDecoder {
  /** The bits that a link of 1 Mbit/s transfers in a millisecond. */
  private static final double BITS_PER_MILLI_AT_ONE_MBPS = 1_000;

  /** A day; no upstream is cold for longer. */
  private static final double MAX_COLD_SECONDS = 86_400;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int DEFAULT_MAX_CONNECTIONS = 100;

  private ConfigDecoder() {}

  /**
   * Decodes a configuration.
   *
   * @throws IOException if the bytes are not JSON, contain no integer field "version", or have home
   *     regions that are not a list of texts
   */
  static RoutingConfig decode(byte[] json) throws IOException {
    JsonNode root = MAPPER.readTree(json);
    if (!root.path("version").isIntegralNumber()) {
      throw new IOException("the configuration must have an integer field \"version\"");
    }
    return new RoutingConfig(
        root.path("version").longValue(),
        RouteTable.of(routes(root.path("routes"))),
        services(root.path("services")),
        workspacesByKey(root.path("tenants")),
        root.path("tenants").isArray(),
        limits(root.path("limits")));
  }

  private static Stream<JsonNode> stream(JsonNode list) {
    return StreamSupport.stream(list.spliterator(), false);
  }

  private static List<Route> routes(JsonNode list) throws IOException {
    List<Route> routes = new ArrayList<>();
    for (JsonNode node : list) {
      routes.add(route(node));
    }
    return routes;
  }

  private static Route route(JsonNode node) throws IOException {
    // A route names either one service, or several services with weights in "split".
    ImmutableList<WeightedService> services =
        node.path("split").isArray() && !node.path("split").isEmpty()
            ? stream(node.path("split"))
                .map(s -> new WeightedService(s.path("service").asText(), s.path("weight").asInt()))
                .collect(ImmutableList.toImmutableList())
            : ImmutableList.of(new WeightedService(node.path("service").asText(), 1));
    long timeoutMillis = Math.max(1, node.path("timeout-ms").asLong());
    return new Route(
        node.path("name").asText(),
        Ascii.toLowerCase(node.path("host").asText()),
        node.path("path-prefix").asText(),
        kind(node.path("type").asText()),
        timeoutMillis,
        // "slo-ms" is the objective for the time to the first byte for streams, and for the time
        // to the whole answer otherwise.
        node.path("slo-ms").asLong(timeoutMillis),
        Math.max(1, node.path("attempts").asInt(1)),
        node.path("priority").asInt(),
        node.path("public").asBoolean(),
        node.path("resumable").asBoolean(),
        services,
        homeRegions("route", node));
  }

  /**
   * Returns the home regions of a route or a tenant. A configuration with another value is rejected
   * as a whole, because requests could leave their regions if the value were ignored.
   */
  private static ImmutableSet<String> homeRegions(String what, JsonNode node) throws IOException {
    JsonNode regions = node.path("home-regions");
    if (regions.isMissingNode()) {
      return ImmutableSet.of();
    }
    if (!regions.isArray() || !stream(regions).allMatch(JsonNode::isTextual)) {
      throw new IOException(
          what
              + " \""
              + node.path("name").asText()
              + "\": \"home-regions\" must be a list of texts");
    }
    return stream(regions).map(JsonNode::textValue).collect(ImmutableSet.toImmutableSet());
  }

  private static RequestKind kind(String type) {
    return switch (type) {
      case "idempotent" -> RequestKind.IDEMPOTENT;
      case "stream" -> RequestKind.STREAM;
      default -> RequestKind.NON_IDEMPOTENT;
    };
  }

  private static ImmutableMap<String, Service> services(JsonNode list) {
    Map<String, Service> services = new HashMap<>();
    for (JsonNode node : list) {
      String name = node.path("name").asText();
      int connections = node.path("max-conns").asInt(DEFAULT_MAX_CONNECTIONS);
      services.put(
          name, new Service(name, connections, engine(node.path("engine")), cold(name, node)));
    }
    return ImmutableMap.copyOf(services);
  }

  /** Returns what a cold upstream takes. A value that is no number of 0 or more sets no bound. */
  private static Optional<ColdLimits> cold(String service, JsonNode node) {
    double seconds = coldNumber(service, node, "cold-s");
    double perSecond = coldNumber(service, node, "cold-per-s");
    long millis = (long) (Math.min(MAX_COLD_SECONDS, seconds) * MILLIS_PER_SECOND);
    return perSecond > 0 ? Optional.of(new ColdLimits(millis, perSecond)) : Optional.empty();
  }

  /** Returns a number, or 0 if it is absent or not valid, which is logged. */
  private static double coldNumber(String service, JsonNode node, String field) {
    JsonNode value = node.path(field);
    double number = value.doubleValue();
    if (value.isMissingNode() || (value.isNumber() && number >= 0 && Double.isFinite(number))) {
      return number;
    }
    EventLog.emit(
        LogEvent.SERVICE_COLD_LIMIT_INVALID,
        "service",
        service,
        "field",
        field,
        "value",
        value.toString());
    return 0;
  }

  private static Optional<EngineLimits> engine(JsonNode node) {
    int slots = node.path("slots").asInt();
    long memoryTokens = node.path("kv-capacity").asLong();
    return slots > 0 && memoryTokens > 0
        ? Optional.of(new EngineLimits(slots, memoryTokens, transferMillisPerToken(node)))
        : Optional.empty();
  }

  private static OptionalDouble transferMillisPerToken(JsonNode node) {
    double tokenBits = node.path("kv-token-bytes").asDouble() * Byte.SIZE;
    double bitsPerMilli = node.path("link-mbps").asDouble() * BITS_PER_MILLI_AT_ONE_MBPS;
    return tokenBits > 0 && bitsPerMilli > 0
        ? OptionalDouble.of(tokenBits / bitsPerMilli)
        : OptionalDouble.empty();
  }

  /** Returns the workspaces by API key. */
  private static ImmutableMap<String, Workspace> workspacesByKey(JsonNode tenants)
      throws IOException {
    Map<String, Workspace> workspacesByKey = new HashMap<>();
    for (JsonNode tenant : tenants) {
      Workspace workspace =
          new Workspace(
              tenant.path("name").asText(),
              workspacePriority(tenant.path("priority")),
              homeRegions("tenant", tenant));
      stream(tenant.path("api-keys")).forEach(key -> workspacesByKey.put(key.asText(), workspace));
    }
    return ImmutableMap.copyOf(workspacesByKey);
  }

  /** Returns the priority of a workspace, or empty if the field is absent or no whole number. */
  private static OptionalInt workspacePriority(JsonNode node) {
    return node.isInt() ? OptionalInt.of(node.intValue()) : OptionalInt.empty();
  }

  private static CallerLimits limits(JsonNode node) {
    CallerLimits defaults = CallerLimits.INITIAL;
    return new CallerLimits(
        node.path("max-header-bytes").asInt(defaults.maxHeaderBytes()),
        node.path("max-body-bytes").asInt(defaults.maxBodyBytes()),
        node.path("header-timeout-ms").asLong(defaults.headerTimeoutMillis()),
        node.path("idle-timeout-ms").asLong(defaults.idleTimeoutMillis()));
  }
}
