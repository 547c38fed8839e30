package org.tanagerbank.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.tanagerbank.standin.ChatMessage;
import org.tanagerbank.standin.ExpectedAnswer;

/**
 * Generates the requests of one chat, whose prompt grows with every turn.
 *
 * <p>The same seed, workspace and index always produce the same chat. All chats of a workspace
 * start with the same system message. Not thread-safe; the turns of a chat are sequential.
 */
public final class ChatScript {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int SYSTEM_WORDS = 64;
  private static final int USER_WORDS_MIN = 16;
  private static final int USER_WORDS_MAX = 96;

  private final String workspace;
  private final String chatId;
  private final String model;
  private final int maxTokens;
  private final SplittableRandom random;
  private final List<ChatMessage> messages = new ArrayList<>();
  private int turn;

  private ChatScript(String workspace, String chatId, String model, int maxTokens, long seed) {
    this.workspace = workspace;
    this.chatId = chatId;
    this.model = model;
    this.maxTokens = maxTokens;
    this.random = new SplittableRandom(seed);
    SplittableRandom workspaceRandom = new SplittableRandom(hash(workspace));
    addMessage("system", words(workspaceRandom, SYSTEM_WORDS));
  }

  /**
   * Returns a chat without any turns.
   *
   * @param index the index of the chat, which becomes a part of its id
   * @param maxTokens the length of each answer in tokens, which must be positive
   */
  public static ChatScript create(
      String workspace, int index, String model, int maxTokens, long seed) {
    checkArgument(maxTokens > 0, "maxTokens must be positive: %s", maxTokens);
    String chatId = "chat-" + index;
    long chatSeed = hash(workspace + "/" + chatId) ^ seed;
    return new ChatScript(workspace, chatId, model, maxTokens, chatSeed);
  }

  /** Adds the next user message and returns the JSON body of a request with all messages so far. */
  public byte[] nextBody(boolean streamed) {
    turn++;
    int length = random.nextInt(USER_WORDS_MIN, USER_WORDS_MAX + 1);
    addMessage("user", words(random, length));
    ObjectNode body = MAPPER.createObjectNode();
    body.put("model", model);
    body.put("max_tokens", maxTokens);
    body.put("stream", streamed);
    ArrayNode list = body.putArray("messages");
    messages.forEach(m -> list.addObject().put("role", m.role()).put("content", m.content()));
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Adds the answer to the last request, so that the next prompt contains it. */
  public void addAnswer(String text) {
    addMessage("assistant", text);
  }

  /** Returns the correct answer to the last request. */
  public String expectedAnswer() {
    return ExpectedAnswer.text(model, messages, maxTokens);
  }

  /** Returns the name of the workspace to which the chat belongs. */
  public String workspace() {
    return workspace;
  }

  /** Returns the id of the chat, which is sent in the {@code x-chat-id} header. */
  public String chatId() {
    return chatId;
  }

  /** Returns the number of requests generated so far. */
  public int turn() {
    return turn;
  }

  private void addMessage(String role, String content) {
    messages.add(new ChatMessage(role, content));
  }

  private static String words(SplittableRandom random, int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(i == 0 ? "" : " ").append('w').append(random.nextInt(10_000));
    }
    return text.toString();
  }

  private static long hash(String text) {
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }
}
