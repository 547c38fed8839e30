package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.engine.PromptPart;

/**
 * What an engine keeps. Immutable.
 *
 * @param upstreamId the engine
 * @param parts the prompt parts that several requests share
 */
public record CachedParts(String upstreamId, ImmutableList<PromptPart> parts) {}
