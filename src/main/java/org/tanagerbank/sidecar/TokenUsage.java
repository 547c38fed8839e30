package org.tanagerbank.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.Lists;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.http.Json;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.proto.LinkProto.End;
import org.tanagerbank.request.TanagerException;

/** Parses the token counts that an engine includes in an answer. Stateless. */
final class TokenUsage {
  /**
   * The size of the part at the end of a stream that is searched; the last event, which contains
   * the usage, is smaller.
   */
  private static final int TAIL_BYTES = 8 << 10;

  private static final String DATA = "data:";

  private TokenUsage() {}

  /** Sets the token counts of an End frame, if the answer contains them. */
  static void addTo(End.Builder end, AnswerBuffer answer, boolean streamed) {
    Optional<JsonNode> usage = streamed ? ofStream(answer) : ofDocument(answer);
    usage.ifPresent(
        u ->
            end.setPromptTokens(u.path("prompt_tokens").asInt())
                .setReusedTokens(u.path("prompt_tokens_details").path("cached_tokens").asInt()));
  }

  /** Returns the usage of a JSON document; empty if its first bytes are no longer kept. */
  private static Optional<JsonNode> ofDocument(AnswerBuffer answer) {
    return answer.retainedBytes() < answer.length()
        ? Optional.empty()
        : parseUsage(new String(answer.read(0, Integer.MAX_VALUE), StandardCharsets.UTF_8));
  }

  /** Returns the usage of the last event that contains one. */
  private static Optional<JsonNode> ofStream(AnswerBuffer answer) {
    long from = answer.length() - Math.min(answer.retainedBytes(), TAIL_BYTES);
    String tail = new String(answer.read(from, TAIL_BYTES), StandardCharsets.UTF_8);
    List<String> lines = Splitter.on('\n').trimResults().splitToList(tail);
    return Lists.reverse(lines).stream()
        .filter(line -> line.startsWith(DATA) && line.contains("\"usage\""))
        .flatMap(line -> parseUsage(line.substring(DATA.length())).stream())
        .findFirst();
  }

  private static Optional<JsonNode> parseUsage(String json) {
    try {
      ObjectNode document = Json.parseObject(json.getBytes(StandardCharsets.UTF_8));
      return Optional.of(document.path("usage")).filter(JsonNode::isObject);
    } catch (TanagerException e) {
      // An answer that is not JSON contains no usage.
      return Optional.empty();
    }
  }
}
