package org.tanagerbank.dispatch;

import org.tanagerbank.engine.Prompt;

/** Receives a notification of each request that is sent to an engine. */
@FunctionalInterface
public interface PlacementListener {
  /**
   * Called when an upstream was chosen for a request, before the request is sent.
   *
   * @param upstreamId the id of the engine
   * @param prompt the prompt of the request
   * @param fetchedTokens the number of prompt tokens that the engine fetches from another engine
   */
  void placed(String upstreamId, Prompt prompt, int fetchedTokens);
}
