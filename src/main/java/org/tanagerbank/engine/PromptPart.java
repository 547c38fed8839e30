package org.tanagerbank.engine;

/**
 * A part of a prompt that requests may share. Immutable.
 *
 * @param id identifies its content
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
