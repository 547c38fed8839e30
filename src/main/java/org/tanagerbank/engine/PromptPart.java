package org.tanagerbank.engine;

/**
 * A part of a prompt that several requests may share. Immutable.
 *
 * @param id the id of the content; equal parts have equal ids
 * @param tokens the length in tokens
 */
public record PromptPart(long id, int tokens) {}
