package org.tanagerbank.routing;

/**
 * What an entry knows about the load of one upstream.
 *
 * <p>The entry's own requests are exact. The others' are as last reported, and drift towards the
 * mean as the report ages. Writers hold the router's lock; readers need none, and may see a change
 * of one field before that of another, which only makes an estimate older.
 */
final class UpstreamLoad {
  /** The age at which a report says nothing any more; about the length of a request. */
  private static final double FORGET_MILLIS = 4_000;

  final long incarnation;
  final long joinedAtMillis;
  final long usableFromMillis;
  volatile int own;
  int accepted;
  long departedAtMillis;
  private volatile int othersReported;
  private volatile long reportedAtMillis = Long.MIN_VALUE / 2;

  UpstreamLoad(long incarnation, long joinedAtMillis, long usableFromMillis) {
    this.incarnation = incarnation;
    this.joinedAtMillis = joinedAtMillis;
    this.usableFromMillis = usableFromMillis;
  }

  void reported(int inFlight, long nowMillis) {
    othersReported = Math.max(0, inFlight - own);
    reportedAtMillis = nowMillis;
  }

  /** Returns the likely number of requests in flight. */
  double estimate(double mean, long nowMillis) {
    int mine = own;
    double trust = Math.max(0, 1 - (nowMillis - reportedAtMillis) / FORGET_MILLIS);
    return mine + trust * othersReported + (1 - trust) * Math.max(0, mean - mine);
  }
}
