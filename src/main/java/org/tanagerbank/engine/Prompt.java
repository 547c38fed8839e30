package org.tanagerbank.engine;

import com.google.common.collect.ImmutableList;

/**
 * What a request gives an engine to read and to generate. Immutable.
 *
 * @param model the model that it is for
 * @param parts the parts of the prompt in order; the last belongs to the request itself
 * @param promptTokens the whole length of the prompt
 * @param maxOutputTokens the most tokens that are generated
 */
public record Prompt(
    String model, ImmutableList<PromptPart> parts, int promptTokens, int maxOutputTokens) {

  /** Returns the id of the longest part that other requests may share. */
  public long sessionId() {
    return parts.isEmpty() ? 0 : parts.get(Math.max(0, parts.size() - 2)).id();
  }

  /** Returns the tokens of all parts but the last, which belongs to the request itself. */
  public int sharedTokens() {
    return parts.stream().limit(Math.max(0, parts.size() - 1)).mapToInt(PromptPart::tokens).sum();
  }

  /** Returns the tokens that only this request needs in an engine's memory. */
  public long ownTokens() {
    return Math.max(0, promptTokens - sharedTokens()) + (long) maxOutputTokens;
  }
}
