package org.tanagerbank.engine;

import com.google.common.collect.ImmutableList;

/**
 * What a request gives an engine to read and to generate. Immutable.
 *
 * @param model the model that it is for
 * @param parts the parts of the prompt in order; the last belongs to the session
 * @param promptTokens the whole length of the prompt
 * @param maxOutputTokens the most tokens that are generated
 */
public record Prompt(
    String model, ImmutableList<PromptPart> parts, int promptTokens, int maxOutputTokens) {

  /** Returns the id of the first part, which the requests of several sessions share. */
  public long groupId() {
    return parts.isEmpty() ? 0 : parts.get(0).id();
  }

  /** Returns the tokens that the request needs in an engine's memory. */
  public long memoryTokens() {
    return (long) promptTokens + maxOutputTokens;
  }
}
