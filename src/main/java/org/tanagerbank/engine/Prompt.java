package org.tanagerbank.engine;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The prompt of a request, by its parts and lengths, and the limit on the generated tokens.
 * Immutable.
 *
 * @param model the name of the model
 * @param parts the parts of the prompt in order; the last part is specific to the request
 * @param promptTokens the length of the whole prompt in tokens
 * @param maxOutputTokens the largest number of tokens to generate
 */
public record Prompt(
    String model, ImmutableList<PromptPart> parts, int promptTokens, int maxOutputTokens) {

  /** Returns a hash of the whole description, which is the same in all processes. */
  public int stableHash() {
    Hasher hasher =
        Hashing.murmur3_32_fixed()
            .newHasher()
            .putString(model, StandardCharsets.UTF_8)
            .putInt(promptTokens)
            .putInt(maxOutputTokens);
    parts.forEach(p -> hasher.putLong(p.id()).putInt(p.tokens()));
    return hasher.hash().asInt();
  }

  /**
   * Returns the id of the last part that other requests may share. This is the second last part,
   * the only part if there is one, or 0 if there are no parts.
   */
  public long sessionId() {
    return parts.isEmpty() ? 0 : parts.get(Math.max(0, parts.size() - 2)).id();
  }

  /** Returns the parts that other requests may share: all but the last. */
  public ImmutableList<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /**
   * Returns the number of tokens of all parts except the last, which is specific to the request.
   */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /**
   * Returns the number of tokens that this request needs in an engine's memory in addition to the
   * shared parts.
   */
  public long requestSpecificTokens() {
    return Math.max(0, promptTokens - sharedTokens()) + (long) maxOutputTokens;
  }
}
