package org.tanagerbank.dispatch;

/**
 * What a cold upstream tolerates in any second beyond its requests a second. Immutable.
 *
 * @param multiple the multiple of the rate that is tolerated; at least 1
 * @param slack the requests that are tolerated beyond that; not negative
 */
public record ColdTolerance(double multiple, double slack) {
  /** No tolerance. */
  public static final ColdTolerance NONE = new ColdTolerance(1, 0);

  /** Returns the largest number of requests in a second at a cold upstream. */
  double maxInOneSecond(double requestsPerSecond) {
    return Math.max(1, multiple) * requestsPerSecond + slack;
  }
}
