package org.tanagerbank.direct;

/**
 * The load that an upstream tells with a response. Immutable.
 *
 * @param running the requests that it works on, from all callers
 * @param waiting the requests in its queue
 * @param slots how many it works on at once
 */
public record LoadReport(int running, int waiting, int slots) {}
