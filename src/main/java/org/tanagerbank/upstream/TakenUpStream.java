package org.tanagerbank.upstream;

/**
 * A stream that a caller takes up after an attempt that did not bring all of it. Immutable.
 *
 * @param id the id of the request that brought the first event; empty if the caller names none, or
 *     several
 */
public record TakenUpStream(String id) {}
