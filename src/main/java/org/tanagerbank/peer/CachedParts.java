package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.engine.PromptPart;

/**
 * Prompt parts that an engine holds in its cache. Immutable.
 *
 * @param upstreamId the id of the engine
 * @param parts the cached prompt parts that several requests share
 */
public record CachedParts(String upstreamId, ImmutableList<PromptPart> parts) {}
