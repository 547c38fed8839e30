package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayDeque;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.request.ErrorCode;

/**
 * Limits the load of one upstream to a multiple of the mean load, enforced by its sidecar.
 *
 * <p>A request is admitted when the in-flight count before it is at most the configured load
 * multiple times a lower bound of the mean load. The bound accounts for requests that may have
 * ended since the estimate was taken. Thread-safe: all state is guarded by the lock of this object.
 */
public final class BoundedAdmission implements Admission {
  /**
   * The time in milliseconds by which an estimate may miss ends. Requests that end while the counts
   * are collected and sent are missed for about this long.
   */
  static final long UNCOUNTED_MILLIS = 5;

  /**
   * The margin, in standard deviations, for a decrease of the total load that has not been
   * reported.
   */
  static final double MARGIN_DEVIATIONS = 3;

  /** The time in milliseconds over which the rate of ended requests is measured. */
  private static final long END_RATE_WINDOW_MILLIS = 10_000;

  private static final long RETRY_AFTER_MILLIS = 500;

  private final WorkspaceShares shares = new WorkspaceShares();
  private final ArrayDeque<Long> endTimes = new ArrayDeque<>();
  private ServiceSpec spec;
  private MeanLoadEstimate mean = new MeanLoadEstimate(0, 0, 0);
  private int inFlight;
  private boolean leaving;

  /** Creates an instance with no requests in flight and no estimate of the mean load. */
  public BoundedAdmission(ServiceSpec spec) {
    this.spec = spec;
  }

  @Override
  public synchronized void configure(ServiceSpec newSpec, long nowMillis) {
    spec = newSpec;
  }

  @Override
  public synchronized void updateMean(MeanLoadEstimate newMean, long nowMillis) {
    if (newMean.takenAtMillis() >= mean.takenAtMillis()) {
      mean = newMean;
    }
  }

  @Override
  public synchronized AdmissionDecision admit(String workspace, long nowMillis) {
    if (leaving) {
      return new AdmissionDecision.Reject(ErrorCode.LEAVING, 0);
    }
    int limit = spec.maxInFlightPerUpstream();
    if (inFlight >= limit || inFlight > spec.loadMultiple() * lowerBoundOfMean(nowMillis)) {
      return new AdmissionDecision.Reject(ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
    if (shares.exceedsShare(workspace, spec, inFlight, limit)) {
      return new AdmissionDecision.Reject(ErrorCode.WORKSPACE_LIMIT, RETRY_AFTER_MILLIS);
    }
    shares.recordStart(workspace);
    inFlight++;
    return new AdmissionDecision.Admit();
  }

  /** Returns a likely lower bound of the mean load, including the request to be admitted. */
  private double lowerBoundOfMean(long nowMillis) {
    int liveUpstreams = Math.max(1, mean.liveUpstreams());
    if (liveUpstreams == 1) {
      return inFlight + 1;
    }
    long windowMillis = nowMillis - mean.takenAtMillis() + UNCOUNTED_MILLIS;
    evictOldEnds(nowMillis);
    long ownEnds = endTimes.stream().filter(t -> nowMillis - t <= windowMillis).count();
    double endsPerMilli = (endTimes.size() + 1.0) / END_RATE_WINDOW_MILLIS;
    double expectedEndsElsewhere = endsPerMilli * windowMillis * (liveUpstreams - 1);
    double margin = Math.max(1, MARGIN_DEVIATIONS * Math.sqrt(2 * expectedEndsElsewhere));
    double total = mean.mean() * liveUpstreams - ownEnds - margin;
    return (Math.max(total, inFlight) + 1) / liveUpstreams;
  }

  private void evictOldEnds(long nowMillis) {
    while (!endTimes.isEmpty() && nowMillis - endTimes.peekFirst() > END_RATE_WINDOW_MILLIS) {
      endTimes.removeFirst();
    }
  }

  @Override
  public synchronized void recordEnded(String workspace, long nowMillis) {
    checkState(inFlight > 0, "a request ended although none was in flight");
    inFlight--;
    shares.recordEnd(workspace);
    evictOldEnds(nowMillis);
    endTimes.addLast(nowMillis);
  }

  /**
   * Returns whether one more request would raise this upstream above the last reported mean load.
   * Returns false when no other upstream is live.
   */
  public synchronized boolean isAboveMean() {
    return mean.liveUpstreams() > 1 && inFlight + 1 > mean.mean();
  }

  @Override
  public synchronized int inFlight() {
    return inFlight;
  }

  @Override
  public synchronized void startLeaving() {
    leaving = true;
  }
}
