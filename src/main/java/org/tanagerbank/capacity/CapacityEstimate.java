package org.tanagerbank.capacity;

/**
 * What a gateway has learned of one process. Immutable.
 *
 * @param weight the requests on which it rests, recent ones counting most
 * @param time the time of a request at the idle upstream, in the unit of {@link ResponseTimes}
 * @param limitIndex the learned limit, as an index of the compared limits
 */
public record CapacityEstimate(double weight, double time, int limitIndex) {
  /** Returns whether the values can be those of a process. */
  boolean isValid() {
    return weight > 0
        && Double.isFinite(weight)
        && time > 0
        && Double.isFinite(time)
        && limitIndex >= 0
        && limitIndex < LoadCurve.LIMITS;
  }
}
