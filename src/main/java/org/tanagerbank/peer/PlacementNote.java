package org.tanagerbank.peer;

import org.tanagerbank.engine.Prompt;

/**
 * A request that an instance sent to an engine. Immutable.
 *
 * @param number rises with each placement of one incarnation of the instance
 * @param upstreamId the engine
 * @param prompt what the engine has to read
 * @param fetchedTokens how many tokens of it the engine fetches from another one
 */
public record PlacementNote(long number, String upstreamId, Prompt prompt, int fetchedTokens) {}
