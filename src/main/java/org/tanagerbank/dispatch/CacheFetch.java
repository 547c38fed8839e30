package org.tanagerbank.dispatch;

/**
 * A transfer of cached prompt parts from one engine to another. Immutable.
 *
 * @param source the engine that is expected to have the parts cached
 * @param tokens the number of tokens that the source has cached and the fetching engine has not
 */
record CacheFetch(UpstreamHandle source, int tokens) {}
