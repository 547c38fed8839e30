package org.tanagerbank.routing;

/**
 * An estimate of the mean load of a service's live upstreams.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mean the mean number of requests in flight per live upstream
 * @param liveUpstreams the number of live upstreams that the mean includes
 * @param takenAtMillis the time in milliseconds to which the oldest part of the estimate dates back
 */
public record MeanLoadEstimate(double mean, int liveUpstreams, long takenAtMillis) {}
