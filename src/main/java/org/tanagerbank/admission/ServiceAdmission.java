package org.tanagerbank.admission;

import java.util.random.RandomGenerator;

/**
 * Admits the requests of one service at this instance, and keeps what that depends on: what groups
 * of requests asked for and got lately, refusals, and the time that a request takes. Nothing of it
 * is shared with other instances, each of which sees a sample. Not thread-safe.
 */
public final class ServiceAdmission {
  /** The weight of one answer in the moving average of the time that a request takes. */
  private static final double TIME_WEIGHT = 0.1;

  /**
   * The factor from which the queues when a request was sent and when it was answered differ too
   * much. This instance then did not know what waited, and would take the wait for work.
   */
  private static final double UNKNOWN_QUEUE_FACTOR = 4;

  private final RecentDemand demand = new RecentDemand();
  private final RecentRefusals refusals = new RecentRefusals();
  private final OverloadState overload = new OverloadState();
  private double requestMillis;

  /** Decides on a request that arrives, or that is to be sent again. */
  public AdmissionDecision decide(
      AdmissionRequest request, ServiceLoad load, long nowMillis, RandomGenerator random) {
    AdmissionDecision decision =
        AdmissionRule.decide(request, load, demand, refusals, overload, nowMillis, random);
    boolean isEarly = refusals.millisUntilReturn(request.identity(), nowMillis) > 0;
    if (!request.hasBegun() && (decision.isSent() || !isEarly)) {
      demand.record(request, load, decision.isSent(), nowMillis);
    }
    if (!decision.isSent() && !isEarly) {
      refusals.record(request.identity(), nowMillis + decision.retryAfterMillis());
    }
    return decision;
  }

  /**
   * Records a request that was answered completely. The share of the requests at its upstream that
   * do not wait is also the share of its time that it ran, as each request waits in its turn.
   *
   * @param millis the time since it was sent, in milliseconds
   * @param shareAtSend the share that did not wait when it was sent, as far as was known
   * @param shareNow the share that does not wait now
   */
  public void recordAnswered(long millis, double shareAtSend, double shareNow) {
    boolean wasQueueKnown = shareAtSend < UNKNOWN_QUEUE_FACTOR * shareNow;
    double sample = millis * (wasQueueKnown ? shareAtSend : shareNow);
    requestMillis =
        requestMillis == 0 ? sample : requestMillis + TIME_WEIGHT * (sample - requestMillis);
  }

  /** Returns the mean time that a request takes once it runs, or 0 before it is known. */
  public double requestMillis() {
    return requestMillis;
  }
}
