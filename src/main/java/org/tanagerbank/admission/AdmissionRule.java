package org.tanagerbank.admission;

import java.util.random.RandomGenerator;

/**
 * Decides whether a request is sent now or refused. The decision is pure: it depends on the
 * arguments only.
 *
 * <p>Nothing is refused while the service has free places. A request is refused if no upstream can
 * respond in its time, or in an overload: if all upstreams respond so late that requests of its
 * kind, or of more urgent ones, miss their objective. The more urgent a request is, and the less
 * its workspace has used, the later it is refused. Stateless and thread-safe.
 */
final class AdmissionRule {
  /**
   * The factor by which a predicted time may exceed the actual one. Predictions allow for no
   * differences between engines beyond the learned slowdown.
   */
  private static final double PREDICTION_ERROR = 1.5;

  /** The error, in milliseconds, that even a short prediction may have: a few batch steps. */
  private static final double PREDICTION_ERROR_MILLIS = 50;

  /**
   * The wait beyond the allowed one, as a share of it, by which the most urgent requests are
   * refused later than the least urgent. Both are refused before the wait takes a whole objective,
   * of which the allowed one takes 0.7.
   */
  private static final double URGENCY_RANGE = 0.25;

  /** The range of waits, as a share of the allowed one, over which more and more is refused. */
  private static final double RAMP = 0.2;

  /**
   * The excess above which less urgent requests are refused in an overload that lasts while more
   * urgent ones are refused. They would otherwise take the room that comes up, as they have longer
   * objectives and so more time to return.
   */
  private static final double LASTING_EXCESS = -0.5;

  /**
   * The share of requests that is sent of every group, relative to the share of all requests. The
   * bound is a quarter; the rest allows for chance and for requests that are sent but not served.
   */
  private static final double FLOOR_SHARE = 0.4;

  /**
   * The time, in milliseconds, in which a request that returns gets the same draw: longer than most
   * callers go on, so that those that send a request more often get no more of them served.
   */
  private static final long DRAW_MILLIS = 20_000;

  /** The sent share of a more urgent kind at which a less urgent one gets the floor only. */
  private static final double URGENT_LOSING_SHARE = 0.8;

  /** The shortest time, in milliseconds, after which a refused request is to return. */
  private static final long MIN_RETURN_MILLIS = 200;

  /** The part of the time left that a caller waits at most before it returns. */
  private static final int MAX_WAIT_DIVISOR = 3;

  private AdmissionRule() {}

  /** Returns the decision on a request. */
  static AdmissionDecision decide(
      AdmissionRequest request,
      ServiceLoad load,
      RecentDemand demand,
      RecentRefusals refusals,
      OverloadState overload,
      long nowMillis,
      RandomGenerator random) {
    if (load.hasFreePlaces()) {
      overload.record(/* isTooLate= */ false, nowMillis);
      return AdmissionDecision.SEND;
    }
    double allowedMillis =
        Math.min(
            RecentDemand.allowedWaitMillis(request, load),
            demand.allowedWaitMillis(request.priority(), nowMillis));
    long untilRoom = (long) Math.max(0, load.waitMillis() - allowedMillis);
    double excess = load.waitMillis() / Math.max(1, allowedMillis) - 1;
    boolean isOverloaded = overload.record(excess > 0, nowMillis);
    if (load.responseMillis()
        > PREDICTION_ERROR * request.timeLeftMillis() + PREDICTION_ERROR_MILLIS) {
      return refused(AdmissionDecision.Verdict.NO_TIME, untilRoom, request, random);
    }
    if (request.hasBegun() || excess <= LASTING_EXCESS || !isOverloaded) {
      return AdmissionDecision.SEND;
    }
    long untilReturn = refusals.millisUntilReturn(request.identity(), nowMillis);
    if (untilReturn > 0 && excess > 0) {
      return new AdmissionDecision(AdmissionDecision.Verdict.OVERLOAD, untilReturn);
    }
    return draw(request) < sentShare(request, excess, demand, nowMillis)
        ? AdmissionDecision.SEND
        : refused(AdmissionDecision.Verdict.OVERLOAD, untilRoom, request, random);
  }

  /** Returns the share of the requests like this one that is sent at a wait. */
  private static double sentShare(
      AdmissionRequest request, double excess, RecentDemand demand, long nowMillis) {
    double byRank = 1 - (excess - URGENCY_RANGE * demand.rank(request, nowMillis)) / RAMP;
    double moreUrgent = demand.moreUrgentSentShare(request.priority(), nowMillis);
    double besideUrgent = (moreUrgent - URGENT_LOSING_SHARE) / (1 - URGENT_LOSING_SHARE);
    return Math.max(FLOOR_SHARE * demand.sentShare(nowMillis), Math.min(byRank, besideUrgent));
  }

  /**
   * Returns a number from 0 to 1 that stays the same for a request that returns soon, so that a
   * caller gains nothing by sending it to several instances or several times.
   */
  private static double draw(AdmissionRequest request) {
    long mixed =
        (request.identity() ^ (request.arrivedAtMillis() / DRAW_MILLIS)) * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return ((mixed ^ (mixed >>> 32)) >>> 11) * 0x1.0p-53;
  }

  /**
   * Returns a refusal. Callers return spread over as long a time as it takes until there is room,
   * and before they would give up if there is room by then.
   */
  private static AdmissionDecision refused(
      AdmissionDecision.Verdict verdict,
      long untilRoomMillis,
      AdmissionRequest request,
      RandomGenerator random) {
    long last = request.timeLeftMillis() / MAX_WAIT_DIVISOR;
    long first = Math.max(MIN_RETURN_MILLIS, untilRoomMillis);
    if (untilRoomMillis >= last) {
      return new AdmissionDecision(verdict, first + random.nextLong(first));
    }
    first = Math.min(first, last / 2);
    return new AdmissionDecision(verdict, 1 + first + random.nextLong(last - first));
  }
}
