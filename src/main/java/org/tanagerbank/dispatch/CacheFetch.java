package org.tanagerbank.dispatch;

/**
 * The cached parts of a prompt that an engine is told to fetch from another one. Immutable.
 *
 * @param source the engine that is believed to keep them
 * @param tokens how many tokens it keeps beyond those of the engine that fetches
 */
record CacheFetch(UpstreamHandle source, int tokens) {}
