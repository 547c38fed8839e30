package org.tanagerbank.upstream;

/**
 * The load that an upstream reports with a response. Immutable.
 *
 * @param running the number of requests that it is processing, from all callers
 * @param waiting the number of requests in its queue
 * @param slots the number of requests that it processes at the same time
 */
public record LoadReport(int running, int waiting, int slots) {}
