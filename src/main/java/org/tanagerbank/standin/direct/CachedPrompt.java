package org.tanagerbank.standin.direct;

/**
 * A prompt part that an engine has cached. Immutable.
 *
 * @param model the model that read the part
 * @param partId the id of the part
 * @param tokens its length in tokens
 */
public record CachedPrompt(String model, long partId, int tokens) {}
