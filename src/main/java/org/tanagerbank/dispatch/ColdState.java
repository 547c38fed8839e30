package org.tanagerbank.dispatch;

import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Whether one process is cold, and how many requests this instance may send to it meanwhile.
 *
 * <p>The latest news decides: a report with a higher number than the ones before, a response, or
 * the observation that the process may have started again. A report may have been written well
 * before it is read, so it does not end what something fresher said shortly before. Has no effect
 * unless the service has {@link ColdLimits}. Not thread-safe; confined to the event loop.
 */
final class ColdState {
  /** The age that a report may have when it is read, in milliseconds. */
  private static final long REPORT_AGE_MILLIS = 2_000;

  /** A day; bounds what a process says, so that times do not overflow. */
  private static final long MAX_COLD_MILLIS = 86_400_000;

  /** The time after the start of cold in which the process is slow as well, in milliseconds. */
  private static final long SLOW_START_MILLIS = 5_000;

  /** The remaining slow start divided by the time by which the first token comes later. */
  private static final double SLOW_START_DIVISOR = 10;

  /**
   * The standard deviations between the mean of the requests in a second, from instances that do
   * not know when the others send, and the largest number that is tolerated.
   */
  private static final double DEVIATIONS = 3.5;

  /**
   * The usual times between two requests after which an instance counts as idle, so that its tokens
   * are drawn anew. Instances that get a request now and then keep theirs.
   */
  private static final double IDLE_GAPS = 3;

  /** The bounds of that time in milliseconds. */
  private static final long MIN_IDLE_MILLIS = 1_000;

  private static final long MAX_IDLE_MILLIS = 4_000;

  /** The age of a token does not matter, as idle instances draw theirs anew. */
  private static final long ANY_AGE_MILLIS = Long.MAX_VALUE;

  /** The weight of one time between requests in their moving average. */
  private static final double GAP_WEIGHT = 0.2;

  private static final TokenBucket.Keeping KEEPING =
      new TokenBucket.Keeping(
          /* burstMillis= */ 250, /* idleTokens= */ 3, /* carriedTokens= */ 0.5);

  /** The phase of requests that are sent to a process that is not cold. */
  static final int WARM = 0;

  private final ColdTolerance tolerance;
  private final DoubleSupplier share;
  private final TokenBucket bucket;
  private final String upstreamId;
  private Optional<ColdLimits> limits = Optional.empty();
  private long coldUntilMillis = Long.MIN_VALUE;
  private long reportNumber = Long.MIN_VALUE;
  private String cause = "";

  /** The time of the latest news that was not a report. */
  private long fresherNewsAtMillis = Long.MIN_VALUE / 2;

  private boolean wasCold;
  private int phases;

  /** The moving average of the times between requests that asked for room, and the latest one. */
  private double gapMillis = MAX_IDLE_MILLIS / IDLE_GAPS;

  private long askedAtMillis = Long.MIN_VALUE / 2;

  /**
   * Creates the state of a process of which nothing is known.
   *
   * @param share returns the share of this instance in what the process takes
   */
  ColdState(
      String upstreamId, ColdTolerance tolerance, DoubleSupplier share, RandomGenerator random) {
    this.upstreamId = upstreamId;
    this.tolerance = tolerance;
    this.share = share;
    this.bucket = new TokenBucket(KEEPING, random);
  }

  /** Sets what the service says of cold upstreams, and notices the end of the cold time. */
  void setLimits(Optional<ColdLimits> newLimits, long nowMillis) {
    limits = newLimits;
    isCold(nowMillis);
  }

  /** Records a report, which may be one that was recorded before. */
  void recordReport(UpstreamReport report, long nowMillis) {
    if (report.reportNumber() <= reportNumber) {
      return;
    }
    reportNumber = report.reportNumber();
    long until = nowMillis + Math.min(MAX_COLD_MILLIS, report.warmupLeftMillis());
    if (until > coldUntilMillis || nowMillis - fresherNewsAtMillis >= REPORT_AGE_MILLIS) {
      setColdUntil(until, "report", nowMillis);
    }
  }

  /**
   * Records what a response of the process says. It ends or shortens the cold time only if its
   * request was sent after the latest other news, as responses overtake each other.
   */
  void recordResponse(long coldMillis, long sentAtMillis, long nowMillis) {
    long until = nowMillis + Math.min(MAX_COLD_MILLIS, coldMillis);
    if (until > coldUntilMillis || sentAtMillis > fresherNewsAtMillis) {
      fresherNewsAtMillis = nowMillis;
      setColdUntil(until, "response", nowMillis);
    }
  }

  /** Records that the process may have become cold unnoticed; its next reports decide. */
  void assumeCold(String assumedCause, long nowMillis) {
    if (limits.isEmpty() || limits.get().millis() == 0) {
      return;
    }
    fresherNewsAtMillis = nowMillis;
    setColdUntil(
        Math.max(coldUntilMillis, nowMillis + limits.get().millis()), assumedCause, nowMillis);
  }

  private void setColdUntil(long untilMillis, String newCause, long nowMillis) {
    isCold(nowMillis);
    coldUntilMillis = untilMillis;
    cause = newCause;
    isCold(nowMillis);
  }

  /** Returns whether the process is cold and its service bounds what it may get. */
  boolean isCold(long nowMillis) {
    boolean isCold = nowMillis < coldUntilMillis && limits.isPresent();
    if (isCold != wasCold) {
      wasCold = isCold;
      recordChange(nowMillis);
    }
    return isCold;
  }

  private void recordChange(long nowMillis) {
    if (!wasCold) {
      EventLog.emit(LogEvent.UPSTREAM_WARM, "upstream", upstreamId);
      return;
    }
    phases++;
    bucket.start(nowMillis);
    EventLog.emit(
        LogEvent.UPSTREAM_COLD,
        "upstream",
        upstreamId,
        "cause",
        cause,
        "coldMillis",
        coldUntilMillis - nowMillis,
        "requestsPerSecond",
        limits.get().requestsPerSecond());
  }

  /** Returns the time in milliseconds until a request may be sent; 0 if it may be sent now. */
  long millisUntilRoom(long nowMillis) {
    if (!isCold(nowMillis)) {
      return 0;
    }
    double perSecond = perSecond();
    bucket.refill(perSecond, share.getAsDouble(), ANY_AGE_MILLIS, nowMillis);
    if (wasIdle(nowMillis)) {
      bucket.redraw(perSecond, share.getAsDouble());
    }
    return Math.min(coldUntilMillis - nowMillis, bucket.millisUntilWhole(perSecond));
  }

  /** Returns whether this instance was idle until now, and records that a request asks now. */
  private boolean wasIdle(long nowMillis) {
    long gap = nowMillis - askedAtMillis;
    if (gap == 0) {
      return false;
    }
    double idleMillis = Math.max(MIN_IDLE_MILLIS, Math.min(MAX_IDLE_MILLIS, IDLE_GAPS * gapMillis));
    gapMillis += GAP_WEIGHT * (Math.min(MAX_IDLE_MILLIS, gap) - gapMillis);
    askedAtMillis = nowMillis;
    return gap >= idleMillis;
  }

  /** Takes the token of a request that is started, and returns the phase that it belongs to. */
  int takeToken(long nowMillis) {
    if (!isCold(nowMillis)) {
      return WARM;
    }
    bucket.take();
    return phases;
  }

  /** Returns the token of a request that was not sent after all. */
  void giveBack(int phase) {
    if (wasCold && phase == phases) {
      bucket.giveBack();
    }
  }

  /**
   * Returns whether a request that was started may still be sent. One that was started before the
   * process became cold takes a token now, if there is one.
   */
  boolean admitsStarted(int phase, long nowMillis) {
    if (!isCold(nowMillis) || phase == phases) {
      return true;
    }
    boolean hasRoom = millisUntilRoom(nowMillis) == 0;
    if (hasRoom) {
      bucket.take();
    }
    return hasRoom;
  }

  /** Returns the time by which the first token comes later while the process is slow. */
  double slowStartMillis(UpstreamReport report, long nowMillis) {
    if (limits.isEmpty()) {
      return report.warmupLeftMillis() / SLOW_START_DIVISOR;
    }
    if (!isCold(nowMillis)) {
      return 0;
    }
    long leftMillis = coldUntilMillis - nowMillis;
    long passedMillis = Math.max(0, limits.get().millis() - leftMillis);
    return Math.max(0, Math.min(leftMillis, SLOW_START_MILLIS - passedMillis)) / SLOW_START_DIVISOR;
  }

  private double perSecond() {
    return fleetPerSecond(limits.get().requestsPerSecond(), share.getAsDouble())
        * share.getAsDouble();
  }

  /**
   * Returns the requests a second that all instances may send on average. Each of many instances
   * sends rarely and at times that the others do not know, so that in some seconds the process gets
   * many more than on average: the more instances, the more the numbers vary.
   */
  private double fleetPerSecond(double limit, double ownShare) {
    double deviations = DEVIATIONS * Math.sqrt(Math.max(0, 1 - limit * ownShare));
    double max = tolerance.maxInOneSecond(limit);
    double root = (Math.sqrt(deviations * deviations + 4 * max) - deviations) / 2;
    return Math.min(limit, root * root);
  }
}
