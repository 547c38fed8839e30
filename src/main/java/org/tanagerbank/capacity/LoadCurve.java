package org.tanagerbank.capacity;

/**
 * How the time of a request grows with the requests in flight at its upstream: hardly below the
 * limit, in proportion to them above it. Stateless and thread-safe.
 */
final class LoadCurve {
  /** The limits that are compared, as shares of the slots; the first one applies unless refuted. */
  private static final double[] LIMIT_SHARES = {1, 0.75, 0.5, 0.34};

  static final int LIMITS = LIMIT_SHARES.length;

  private LoadCurve() {}

  /** Returns one of the limits that are compared, in requests. */
  static double limit(int index, int slots) {
    return Math.max(1, LIMIT_SHARES[index] * slots);
  }

  /**
   * Returns the time of a request as a multiple of that at an idle upstream: (1 + (n/limit)^4)^1/4.
   * Counts of requests are a little old, so the curve has no sharp bend.
   *
   * @param requests the requests in flight, including this one
   */
  static double factor(double requests, double limit) {
    double load = requests / limit;
    double square = load * load;
    return Math.sqrt(Math.sqrt(1 + square * square));
  }

  /**
   * Returns the time of one more request and the delay of the others by it, in the same unit: the
   * derivative of the sum of their times.
   *
   * @param requests the requests in flight, including the one more
   */
  static double marginalFactor(double requests, double limit) {
    double load = requests / limit;
    double fourthPower = load * load * load * load;
    return factor(requests, limit) * (1 + fourthPower / (1 + fourthPower));
  }
}
