package org.tanagerbank.adoption;

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
import org.tanagerbank.adoption.ConfigRecord.Malformed;
import org.tanagerbank.adoption.ConfigRecord.Publish;
import org.tanagerbank.adoption.ConfigRecord.Snapshot;
import org.tanagerbank.adoption.ConfigRecord.Unsupported;
import org.tanagerbank.declaration.DeclarationParser;

/**
 * Writes records of stream {@code config} as JSON with a version field, and reads them.
 *
 * <p>Texts over 2 KiB are compressed: every entry reads every record, and 35,000 changes a day have
 * to fit into 28 KB/s. Thread-safe.
 */
public final class ConfigRecordCodec {
  private static final int VERSION = 1;
  private static final int COMPRESS_OVER_BYTES = 2_048;
  private static final int MAX_NAME_LENGTH = 128;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private ConfigRecordCodec() {}

  /** Writes a Publish record. */
  public static byte[] encode(Publish publish) {
    ObjectNode json = object("publish");
    json.put("publishId", publish.publishId());
    json.put("base", publish.base());
    json.put("operator", publish.operator());
    return bytes(json, publish.text());
  }

  /** Writes a Snapshot record. */
  public static byte[] encode(Snapshot snapshot) {
    ObjectNode json = object("snapshot");
    json.put("revision", snapshot.revision());
    json.put("publishId", snapshot.publishId());
    json.put("operator", snapshot.operator());
    json.put("publishedAtMillis", snapshot.publishedAtMillis());
    json.put("asOf", snapshot.asOf());
    return bytes(json, snapshot.text());
  }

  /** Reads any bytes: what is no record becomes {@link Malformed} or {@link Unsupported}. */
  public static ConfigRecord decode(byte[] data) {
    try {
      JsonNode json = MAPPER.readTree(data);
      long version = json.isObject() ? number(json, "version") : 0;
      if (version != VERSION) {
        return version > VERSION && version <= Integer.MAX_VALUE
            ? new Unsupported((int) version)
            : new Malformed("not a JSON object with a version");
      }
      return switch (name(json, "type")) {
        case "publish" ->
            new Publish(
                name(json, "publishId"), number(json, "base"), name(json, "operator"), text(json));
        case "snapshot" ->
            new Snapshot(
                number(json, "revision"),
                name(json, "publishId"),
                name(json, "operator"),
                number(json, "publishedAtMillis"),
                text(json),
                number(json, "asOf"));
        default -> new Malformed("unknown type");
      };
    } catch (IOException | IllegalArgumentException e) {
      return new Malformed(String.valueOf(e.getMessage()));
    }
  }

  private static ObjectNode object(String type) {
    return MAPPER.createObjectNode().put("version", VERSION).put("type", type);
  }

  private static byte[] bytes(ObjectNode json, String text) {
    byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
    if (utf8.length > COMPRESS_OVER_BYTES) {
      json.put("textGzip", compressed(utf8));
    } else {
      json.put("text", text);
    }
    try {
      return MAPPER.writeValueAsBytes(json);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] compressed(byte[] data) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
      gzip.write(data);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static String text(JsonNode json) throws IOException {
    if (json.has("text") == json.has("textGzip")) {
      throw new IllegalArgumentException("needs either text or textGzip");
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
      throw new IllegalArgumentException("textGzip must be a string");
    }
    int limit = DeclarationParser.MAX_TEXT_BYTES + 1;
    try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(gzip))) {
      return new String(
          ByteStreams.toByteArray(ByteStreams.limit(in, limit)), StandardCharsets.UTF_8);
    }
  }

  private static long number(JsonNode json, String field) {
    JsonNode value = json.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException(field + " must be a whole number");
    }
    return value.longValue();
  }

  private static String name(JsonNode json, String field) {
    JsonNode value = json.path(field);
    if (!value.isTextual() || value.textValue().length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException(field + " must be a string of up to 128 characters");
    }
    return value.textValue();
  }
}
