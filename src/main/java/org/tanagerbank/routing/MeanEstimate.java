package org.tanagerbank.routing;

/**
 * An estimate of the mean load of a service's live upstreams.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mean requests in flight per live upstream
 * @param liveUpstreams the number of live upstreams it was taken over
 * @param takenAtMillis the time of the oldest contribution
 */
public record MeanEstimate(double mean, int liveUpstreams, long takenAtMillis) {}
