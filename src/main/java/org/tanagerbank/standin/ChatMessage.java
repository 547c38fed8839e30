package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * One message of a chat.
 *
 * @param role the role of the author, for example {@code user}
 * @param content the text of the message; the concatenated parts if the request has several
 */
public record ChatMessage(String role, String content) {
  /**
   * Reads the messages of a chat completion request.
   *
   * @throws TanagerException with code {@code BAD_REQUEST} if {@code messages} is not a non-empty
   *     array or a message has no role
   */
  public static ImmutableList<ChatMessage> read(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, "messages must be a non-empty array");
    }
    ImmutableList.Builder<ChatMessage> list = ImmutableList.builder();
    for (JsonNode message : messages) {
      if (!message.path("role").isTextual()) {
        throw TanagerException.notRun(
            ErrorCode.BAD_REQUEST, "each message must have a text \"role\"");
      }
      list.add(new ChatMessage(message.get("role").asText(), text(message.path("content"))));
    }
    return list.build();
  }

  private static String text(JsonNode content) {
    if (!content.isArray()) {
      return content.asText();
    }
    StringBuilder text = new StringBuilder();
    content.forEach(part -> text.append(part.path("text").asText()));
    return text.toString();
  }
}
