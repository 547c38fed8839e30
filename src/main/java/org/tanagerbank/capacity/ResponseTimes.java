package org.tanagerbank.capacity;

/**
 * The mean response time of some requests at one process that met about the same load. Immutable.
 *
 * @param inFlight the requests in flight there when they were sent, including each itself
 * @param requests the number of requests
 * @param time their geometric mean time at usual speed of the machine: milliseconds, or for engines
 *     the actual time to the first token as a multiple of the predicted one
 */
public record ResponseTimes(double inFlight, int requests, double time) {
  /** Returns whether the values can be those of requests. */
  boolean isValid() {
    return inFlight >= 1 && requests > 0 && time > 0 && Double.isFinite(time);
  }
}
