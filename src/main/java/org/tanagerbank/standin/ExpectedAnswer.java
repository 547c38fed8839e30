package org.tanagerbank.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Computes the answers of the engine stand-in, which depend only on the model, the conversation and
 * the number of tokens.
 *
 * <p>Stateless and thread-safe.
 */
public final class ExpectedAnswer {
  private static final HashFunction HASH = Hashing.murmur3_32_fixed(0x7a70);

  private ExpectedAnswer() {}

  /**
   * Returns the tokens of the answer to a conversation.
   *
   * <p>Each token contains a hash of the model and the messages, which reveals tokens of another
   * answer, and its position, which reveals gaps and repeats.
   *
   * @param maxTokens the number of tokens of the answer
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

  /** Returns the complete text of the answer to a conversation. */
  public static String text(String model, List<ChatMessage> messages, int maxTokens) {
    return String.join("", tokens(model, messages, maxTokens));
  }
}
