package org.tanagerbank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.tanagerbank.backing.SocketAddresses;
import org.tanagerbank.direct.DirectUpstream;

/**
 * Decodes what an upstream says of itself in the store. Entries may come from other writers: one
 * that is not as expected names no upstream. Stateless and thread-safe.
 */
final class UpstreamDecoder {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private UpstreamDecoder() {}

  /** Returns the upstream that an entry names, or nothing for an entry that cannot be used. */
  static Optional<DirectUpstream> decode(String id, byte[] json) {
    try {
      return decode(id, MAPPER.readTree(json));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<DirectUpstream> decode(String id, JsonNode node) {
    String state = node.path("state").asText();
    boolean usable =
        !id.isEmpty()
            && node.path("service").isTextual()
            && node.path("addr").isTextual()
            && node.path("slots").isInt()
            && node.path("slots").intValue() > 0
            && node.path("state").isTextual()
            && (!node.has("born") || node.path("born").isIntegralNumber())
            && (state.equals("ready") || state.equals("draining"));
    if (!usable) {
      return Optional.empty();
    }
    return Optional.of(
        new DirectUpstream(
            id,
            node.path("service").textValue(),
            SocketAddresses.parse(node.path("addr").textValue()),
            node.path("zone").asText(),
            node.path("slots").intValue(),
            state.equals("draining"),
            node.path("cold-left-ms").asLong(),
            // "born" is the time of the start by the upstream's clock.
            node.path("born").asLong(),
            // "seq" counts the reports of one start.
            node.path("seq").asLong()));
  }
}
