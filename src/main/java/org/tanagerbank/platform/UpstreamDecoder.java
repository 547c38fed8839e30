package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.Optional;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Decodes the reports that upstreams write to the store. The topic may contain entries of other
 * writers, so an entry that is not a valid report is ignored: one that lacks a field, or has a
 * value of another type or out of range. Stateless and thread-safe.
 */
final class UpstreamDecoder {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String READY = "ready";
  private static final String DRAINING = "draining";
  private static final ImmutableSet<String> STATES = ImmutableSet.of(READY, DRAINING);
  private static final ImmutableList<String> TEXT_FIELDS =
      ImmutableList.of("service", "version", "addr", "zone", "state");
  private static final ImmutableList<String> NUMBER_FIELDS =
      ImmutableList.of("slots", "cold-left-ms", "seq");

  private UpstreamDecoder() {}

  /** Returns the upstream that an entry describes, or nothing if the entry is not valid. */
  static Optional<UpstreamReport> decode(String id, byte[] json) {
    try {
      return Optional.of(MAPPER.readTree(json))
          .filter(node -> !id.isEmpty() && isValid(node))
          .map(node -> decode(id, node))
          .filter(report -> report.address().getPort() > 0);
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static boolean isValid(JsonNode node) {
    return TEXT_FIELDS.stream().allMatch(f -> node.path(f).isTextual())
        && NUMBER_FIELDS.stream().allMatch(f -> isWholeNumber(node.path(f)))
        // Upstreams that never start again under their id may omit the time of their start.
        && (!node.has("born") || isWholeNumber(node.path("born")))
        && node.path("slots").isInt()
        && node.path("slots").intValue() > 0
        && STATES.contains(node.path("state").textValue());
  }

  private static boolean isWholeNumber(JsonNode node) {
    return node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0;
  }

  /**
   * Returns the report in a valid entry.
   *
   * @throws IllegalArgumentException if the address is not an IP address with a port
   */
  private static UpstreamReport decode(String id, JsonNode node) {
    return new UpstreamReport(
        id,
        node.path("service").textValue(),
        // "version" is the version of the software of the upstream, not of the model weights.
        node.path("version").textValue(),
        SocketAddresses.parse(node.path("addr").textValue()),
        node.path("zone").textValue(),
        node.path("slots").intValue(),
        node.path("state").textValue().equals(DRAINING),
        node.path("cold-left-ms").longValue(),
        // "born" is the start time of the upstream by its own clock.
        node.path("born").asLong(),
        // "seq" counts the reports since the start of the upstream.
        node.path("seq").longValue());
  }
}
