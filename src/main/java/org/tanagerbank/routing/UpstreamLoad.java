package org.tanagerbank.routing;

/**
 * An entry's estimate of the load of one upstream.
 *
 * <p>The entry's own requests are counted exactly. The requests of other entries are known from the
 * last report; as the report ages, their estimate moves towards the mean load. Writers must hold
 * the lock of the router. Readers take no lock and may see a change of one field before that of
 * another, which only makes an estimate slightly older.
 */
final class UpstreamLoad {
  /** The age in milliseconds from which a report is ignored; about the duration of a request. */
  private static final double REPORT_EXPIRY_MILLIS = 4_000;

  final long incarnation;
  final long joinedAtMillis;
  final long usableFromMillis;
  volatile int ownInFlight;
  int ownAccepted;
  long departedAtMillis;
  private volatile int othersInFlight;
  private volatile long reportedAtMillis = Long.MIN_VALUE / 2;

  UpstreamLoad(long incarnation, long joinedAtMillis, long usableFromMillis) {
    this.incarnation = incarnation;
    this.joinedAtMillis = joinedAtMillis;
    this.usableFromMillis = usableFromMillis;
  }

  void recordReport(int inFlight, long nowMillis) {
    othersInFlight = Math.max(0, inFlight - ownInFlight);
    reportedAtMillis = nowMillis;
  }

  /**
   * Returns the estimated number of requests in flight at the upstream.
   *
   * @param mean the mean number of requests in flight per upstream
   */
  double estimate(double mean, long nowMillis) {
    int ownCount = ownInFlight;
    double reportWeight = Math.max(0, 1 - (nowMillis - reportedAtMillis) / REPORT_EXPIRY_MILLIS);
    return ownCount
        + reportWeight * othersInFlight
        + (1 - reportWeight) * Math.max(0, mean - ownCount);
  }
}
