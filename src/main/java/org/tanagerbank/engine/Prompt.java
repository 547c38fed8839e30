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

  /** Returns the id of the last shared part, which is the same for all requests of a session. */
  public long sessionId() {
    return parts.isEmpty() ? 0 : parts.get(parts.size() - 1).id();
  }

  /** Returns the tokens that the request needs in an engine's memory. */
  public long memoryTokens() {
    return (long) promptTokens + maxOutputTokens;
  }
}
