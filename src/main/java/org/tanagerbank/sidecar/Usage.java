package org.tanagerbank.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.Lists;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.Json;
import org.tanagerbank.ledger.AnswerBuffer;
import org.tanagerbank.proto.LinkProto.End;

/** Reads the token counts that an engine states at the end of an answer. Stateless. */
final class Usage {
  /** The usage stands in the last event of a stream, whose size this exceeds. */
  private static final int TAIL_BYTES = 8 << 10;

  private static final String DATA = "data:";

  private Usage() {}

  /** Sets the token counts, if the answer states them. */
  static void addTo(End.Builder end, AnswerBuffer answer, boolean streamed) {
    Optional<JsonNode> usage = streamed ? ofStream(answer) : ofDocument(answer);
    usage.ifPresent(
        u ->
            end.setPromptTokens(u.path("prompt_tokens").asInt())
                .setReusedTokens(u.path("prompt_tokens_details").path("cached_tokens").asInt()));
  }

  private static Optional<JsonNode> ofDocument(AnswerBuffer answer) {
    return answer.retainedBytes() < answer.length()
        ? Optional.empty()
        : usage(new String(answer.read(0, Integer.MAX_VALUE), StandardCharsets.UTF_8));
  }

  private static Optional<JsonNode> ofStream(AnswerBuffer answer) {
    long from = answer.length() - Math.min(answer.retainedBytes(), TAIL_BYTES);
    String tail = new String(answer.read(from, TAIL_BYTES), StandardCharsets.UTF_8);
    List<String> lines = Splitter.on('\n').trimResults().splitToList(tail);
    return Lists.reverse(lines).stream()
        .filter(line -> line.startsWith(DATA) && line.contains("\"usage\""))
        .flatMap(line -> usage(line.substring(DATA.length())).stream())
        .findFirst();
  }

  private static Optional<JsonNode> usage(String json) {
    try {
      ObjectNode document = Json.parseObject(json.getBytes(StandardCharsets.UTF_8));
      return Optional.of(document.path("usage")).filter(JsonNode::isObject);
    } catch (TanagerException e) {
      // An answer that is not JSON states no usage.
      return Optional.empty();
    }
  }
}
