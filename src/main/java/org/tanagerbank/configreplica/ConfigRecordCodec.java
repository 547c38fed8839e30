package org.tanagerbank.configreplica;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.tanagerbank.configreplica.ConfigRecord.Malformed;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecord.Snapshot;
import org.tanagerbank.configreplica.ConfigRecord.Unsupported;
import org.tanagerbank.declaration.DeclarationParser;

/**
 * Encodes records of stream {@code config} as JSON objects with a version field, and decodes them.
 *
 * <p>Texts of more than 2 KiB are compressed, because every entry reads every record, and 35,000
 * changes a day must fit into 28 KB/s. Thread-safe.
 */
public final class ConfigRecordCodec {
  private static final int VERSION = 1;
  private static final int MAX_UNCOMPRESSED_BYTES = 2_048;
  private static final int MAX_NAME_LENGTH = 128;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private ConfigRecordCodec() {}

  /** Returns the encoded form of a Publish record. */
  public static byte[] encode(Publish publish) {
    ObjectNode json = newObject("publish");
    json.put("publishId", publish.publishId());
    json.put("base", publish.base());
    json.put("operator", publish.operator());
    return toBytes(json, publish.text());
  }

  /** Returns the encoded form of a Snapshot record. */
  public static byte[] encode(Snapshot snapshot) {
    ObjectNode json = newObject("snapshot");
    json.put("revision", snapshot.revision());
    json.put("publishId", snapshot.publishId());
    json.put("operator", snapshot.operator());
    json.put("publishedAtMillis", snapshot.publishedAtMillis());
    json.put("asOf", snapshot.asOf());
    return toBytes(json, snapshot.text());
  }

  /**
   * Returns the record that the bytes encode. Returns {@link Unsupported} for a record of a newer
   * format version and {@link Malformed} for other invalid bytes; never throws for invalid bytes.
   */
  public static ConfigRecord decode(byte[] data) {
    try {
      JsonNode json = MAPPER.readTree(data);
      long version = json.isObject() ? readNumber(json, "version") : 0;
      if (version != VERSION) {
        return version > VERSION && version <= Integer.MAX_VALUE
            ? new Unsupported((int) version)
            : new Malformed("expected a JSON object with a supported version");
      }
      return switch (readName(json, "type")) {
        case "publish" ->
            new Publish(
                readName(json, "publishId"),
                readNumber(json, "base"),
                readName(json, "operator"),
                readText(json));
        case "snapshot" ->
            new Snapshot(
                readNumber(json, "revision"),
                readName(json, "publishId"),
                readName(json, "operator"),
                readNumber(json, "publishedAtMillis"),
                readText(json),
                readNumber(json, "asOf"));
        default -> new Malformed("unknown record type");
      };
    } catch (IOException | IllegalArgumentException e) {
      return new Malformed(String.valueOf(e.getMessage()));
    }
  }

  private static ObjectNode newObject(String type) {
    return MAPPER.createObjectNode().put("version", VERSION).put("type", type);
  }

  private static byte[] toBytes(ObjectNode json, String text) {
    byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
    if (utf8.length > MAX_UNCOMPRESSED_BYTES) {
      json.put("textGzip", compress(utf8));
    } else {
      json.put("text", text);
    }
    try {
      return MAPPER.writeValueAsBytes(json);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] compress(byte[] data) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
      gzip.write(data);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static String readText(JsonNode json) throws IOException {
    if (json.has("text") == json.has("textGzip")) {
      throw new IllegalArgumentException("exactly one of text and textGzip must be present");
    }
    if (json.has("text")) {
      JsonNode text = json.get("text");
      if (!text.isTextual()) {
        throw new IllegalArgumentException("text must be a string");
      }
      return text.textValue();
    }
    byte[] gzip = json.get("textGzip").binaryValue();
    if (gzip == null) {
      throw new IllegalArgumentException("textGzip must be a Base64 string");
    }
    // Limits the memory that a corrupt record can take. One byte more than the limit is enough
    // for the parser to reject a text that is too long.
    int limit = DeclarationParser.MAX_TEXT_BYTES + 1;
    try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(gzip))) {
      return new String(
          ByteStreams.toByteArray(ByteStreams.limit(in, limit)), StandardCharsets.UTF_8);
    }
  }

  private static long readNumber(JsonNode json, String field) {
    JsonNode value = json.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException(field + " must be an integer of at most 64 bits");
    }
    return value.longValue();
  }

  private static String readName(JsonNode json, String field) {
    JsonNode value = json.path(field);
    if (!value.isTextual() || value.textValue().length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException(field + " must be a string of up to 128 characters");
    }
    return value.textValue();
  }
}
