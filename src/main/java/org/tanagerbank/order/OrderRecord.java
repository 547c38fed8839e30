package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A record of stream {@code orders}.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface OrderRecord {
  /** The name of the stream. */
  String STREAM = "orders";

  /**
   * An incarnation of a sidecar takes the right to give orders to its engine.
   *
   * @param upstream the id of the upstream
   * @param incarnation the incarnation of its sidecar
   */
  record Claim(String upstream, long incarnation) implements OrderRecord {
    public Claim {
      checkArgument(!upstream.isEmpty(), "upstream must not be empty");
    }
  }

  /**
   * An order may have taken effect after the right to give it had ended. The present holder repeats
   * its own orders.
   *
   * @param upstream the id of the upstream
   * @param fencing the fencing number of the order
   */
  record Late(String upstream, long fencing) implements OrderRecord {
    public Late {
      checkArgument(!upstream.isEmpty(), "upstream must not be empty");
    }
  }

  /** Bytes that are no record of this format; they have no effect. */
  record Malformed() implements OrderRecord {}

  /** A record of a later format, which may end any right. */
  record Unsupported() implements OrderRecord {}

  /** Returns the bytes of a claim. */
  static byte[] encode(Claim claim) {
    return Codec.bytes("claim", claim.upstream(), "incarnation", claim.incarnation());
  }

  /** Returns the bytes of a notice of a late order. */
  static byte[] encode(Late late) {
    return Codec.bytes("late", late.upstream(), "fencing", late.fencing());
  }

  /** Reads any bytes. */
  static OrderRecord decode(byte[] data) {
    return Codec.decode(data);
  }

  /** The JSON form: an object with a version, a type and the fields of the record. */
  final class Codec {
    private static final int VERSION = 1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Codec() {}

    private static byte[] bytes(String type, String upstream, String field, long value) {
      try {
        return MAPPER.writeValueAsBytes(
            MAPPER
                .createObjectNode()
                .put("version", VERSION)
                .put("type", type)
                .put("upstream", upstream)
                .put(field, value));
      } catch (JsonProcessingException e) {
        throw new UncheckedIOException(e);
      }
    }

    private static OrderRecord decode(byte[] data) {
      try {
        JsonNode json = MAPPER.readTree(data);
        if (json.path("version").asInt(0) > VERSION) {
          return new Unsupported();
        }
        String upstream = json.path("upstream").asText("");
        if (upstream.isEmpty() || json.path("version").asInt(0) != VERSION) {
          return new Malformed();
        }
        return switch (json.path("type").asText("")) {
          case "claim" -> new Claim(upstream, json.path("incarnation").asLong());
          case "late" -> new Late(upstream, json.path("fencing").asLong());
          default -> new Malformed();
        };
      } catch (IOException e) {
        return new Malformed();
      }
    }
  }
}
