package org.tanagerbank.order;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A record of the log stream {@code orders}, which decides which incarnation of a sidecar holds the
 * {@link OrderLease} of its engine.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface OrderRecord {
  /** The name of the log stream. */
  String STREAM = "orders";

  /**
   * Claims the lease for an incarnation of a sidecar. The offset of the record is the fencing
   * number.
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
   * Reports that an order may have taken effect after the lease of its sender had ended. The
   * current holder then repeats its own orders.
   *
   * @param upstream the id of the upstream
   * @param fencing the fencing number of the order
   */
  record LateOrder(String upstream, long fencing) implements OrderRecord {
    public LateOrder {
      checkArgument(!upstream.isEmpty(), "upstream must not be empty");
    }
  }

  /** Stands for bytes that are not a valid record of this format. They have no effect. */
  record Malformed() implements OrderRecord {}

  /** Stands for a record of a later format, which must be assumed to end any lease. */
  record Unsupported() implements OrderRecord {}

  /** Returns the bytes of a claim. */
  static byte[] encode(Claim claim) {
    return Codec.bytes("claim", claim.upstream(), "incarnation", claim.incarnation());
  }

  /** Returns the bytes of a report of a late order. */
  static byte[] encode(LateOrder late) {
    return Codec.bytes("late", late.upstream(), "fencing", late.fencing());
  }

  /** Parses the bytes of a record; never fails, but may return {@link Malformed}. */
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
          case "late" -> new LateOrder(upstream, json.path("fencing").asLong());
          default -> new Malformed();
        };
      } catch (IOException e) {
        return new Malformed();
      }
    }
  }
}
