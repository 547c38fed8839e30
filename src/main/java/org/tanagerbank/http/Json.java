package org.tanagerbank.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/** Reads and writes JSON bodies. Thread-safe. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Converts a value to a JSON tree. */
  public static JsonNode tree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /** Returns a JSON tree as encoded bytes. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Parses a JSON object.
   *
   * @throws TanagerException with code {@code MALFORMED_JSON} if the bytes are not a JSON object
   */
  public static ObjectNode parseObject(byte[] body) {
    JsonNode node = parse(body);
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw malformed("the body is not a JSON object");
  }

  private static JsonNode parse(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (node == null || node.isMissingNode()) {
        throw malformed("the body is empty");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw malformed(e.getOriginalMessage());
    } catch (IOException e) {
      throw malformed(e.getMessage());
    }
  }

  private static TanagerException malformed(String message) {
    return TanagerException.notRun(ErrorCode.MALFORMED_JSON, message);
  }
}
