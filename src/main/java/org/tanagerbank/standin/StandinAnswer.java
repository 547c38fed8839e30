package org.tanagerbank.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The answers of the engine stand-in, which depend only on the conversation. Thread-safe. */
public final class StandinAnswer {
  private static final HashFunction HASH = Hashing.murmur3_32_fixed(0x7a70);

  private StandinAnswer() {}

  /**
   * Returns the tokens of the answer to a conversation.
   *
   * <p>Each token holds a hash of the model and the messages, so that a token of another answer is
   * noticed, and its position, so that a gap or a repeat is noticed.
   */
  public static ImmutableList<String> tokens(
      String model, List<ChatMessage> messages, int maxTokens) {
    Hasher hasher = HASH.newHasher().putString(model, StandardCharsets.UTF_8).putByte((byte) 0);
    for (ChatMessage message : messages) {
      hasher
          .putString(message.role(), StandardCharsets.UTF_8)
          .putByte((byte) 0)
          .putString(message.content(), StandardCharsets.UTF_8)
          .putByte((byte) 0);
    }
    String hash = hasher.hash().toString();
    ImmutableList.Builder<String> tokens = ImmutableList.builderWithExpectedSize(maxTokens);
    for (int i = 0; i < maxTokens; i++) {
      tokens.add(hash + "." + i + " ");
    }
    return tokens.build();
  }

  /** Returns the whole text of the answer to a conversation. */
  public static String text(String model, List<ChatMessage> messages, int maxTokens) {
    return String.join("", tokens(model, messages, maxTokens));
  }
}
