package org.tanagerbank.dispatch;

/**
 * What the dispatcher of an instance is set to. Immutable.
 *
 * @param zone the availability zone of this instance
 * @param loadMultiple an upstream holds at most this many times the mean of its service
 * @param retryRatio the share of the requests of a window that may be sent once more
 * @param retryWindowMillis the length of that window
 * @param fleetRetryFloor the retries of the whole fleet that are allowed beyond that share
 * @param startWaitMillis how long a request waits after a start for what is needed to place it
 */
public record DispatchSettings(
    String zone,
    double loadMultiple,
    double retryRatio,
    long retryWindowMillis,
    double fleetRetryFloor,
    long startWaitMillis) {}
