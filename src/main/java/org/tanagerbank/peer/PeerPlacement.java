package org.tanagerbank.peer;

import org.tanagerbank.engine.Prompt;

/**
 * A request that an instance sent to an engine. Immutable.
 *
 * @param number a number that increases with each placement of an incarnation of the instance
 * @param upstreamId the id of the engine
 * @param prompt the prompt that the engine processes
 * @param fetchedTokens the number of prompt tokens that the engine fetches from another engine
 */
public record PeerPlacement(long number, String upstreamId, Prompt prompt, int fetchedTokens) {}
