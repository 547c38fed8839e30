package org.tanagerbank.admission;

/**
 * The load of a service as it concerns one request. Immutable.
 *
 * @param slots the number of requests that the upstreams of the service that take requests run at
 *     the same time
 * @param taken the number of requests that all instances have in flight there
 * @param isAnyWaiting whether a request waits at one of them
 * @param waitMillis the predicted time until work on the request begins, at the upstream where this
 *     is shortest, in milliseconds
 * @param ownMillis the expected time from then until its response counts as begun, in milliseconds
 * @param leastOwnMillis the part of it that follows from the request itself, not from the mean of
 *     others, in milliseconds
 */
public record ServiceLoad(
    int slots,
    int taken,
    boolean isAnyWaiting,
    double waitMillis,
    double ownMillis,
    double leastOwnMillis) {
  /** The share of the slots below which nothing is refused unless a request waits. */
  private static final double FREE_SHARE = 0.5;

  /** Returns whether the service has free places, so that nothing may be refused. */
  public boolean hasFreePlaces() {
    return !isAnyWaiting && taken < FREE_SHARE * slots;
  }

  /** Returns the least predicted time until the response of the request can begin. */
  double responseMillis() {
    return waitMillis + leastOwnMillis;
  }
}
