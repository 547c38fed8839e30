package org.tanagerbank.dispatch;

import org.tanagerbank.engine.Prompt;

/** Is told of each request that is sent to an engine. */
@FunctionalInterface
public interface PlacementListener {
  /**
   * Called when a request is sent.
   *
   * @param fetchedTokens how many tokens of the prompt the engine fetches from another one
   */
  void placed(String upstreamId, Prompt prompt, int fetchedTokens);
}
