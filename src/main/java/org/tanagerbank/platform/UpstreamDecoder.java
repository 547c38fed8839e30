package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Decodes the reports that upstreams write to the store. The topic may contain entries of other
 * writers, so an entry that is not a valid report is ignored. Stateless and thread-safe.
 */
final class UpstreamDecoder {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private UpstreamDecoder() {}

  /** Returns the upstream that an entry describes, or nothing if the entry is not valid. */
  static Optional<UpstreamReport> decode(String id, byte[] json) {
    try {
      return decode(id, MAPPER.readTree(json));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<UpstreamReport> decode(String id, JsonNode node) {
    String state = node.path("state").asText();
    boolean isValid =
        !id.isEmpty()
            && node.path("service").isTextual()
            && node.path("addr").isTextual()
            && node.path("slots").isInt()
            && node.path("slots").intValue() > 0
            && node.path("state").isTextual()
            && (!node.has("born") || node.path("born").isIntegralNumber())
            && (state.equals("ready") || state.equals("draining"));
    if (!isValid) {
      return Optional.empty();
    }
    return Optional.of(
        new UpstreamReport(
            id,
            node.path("service").textValue(),
            // "version" is the version of the software of the upstream, not of the model weights.
            node.path("version").asText(),
            SocketAddresses.parse(node.path("addr").textValue()),
            node.path("zone").asText(),
            node.path("slots").intValue(),
            state.equals("draining"),
            node.path("cold-left-ms").asLong(),
            // "born" is the start time of the upstream by its own clock.
            node.path("born").asLong(),
            // "seq" counts the reports since the start of the upstream.
            node.path("seq").asLong()));
  }
}
