package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayDeque;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.declaration.ServiceSpec;

/**
 * Admission of one sidecar: holds its upstream at or below the multiple of the mean load.
 *
 * <p>A request is admitted when the in-flight count before it is at most c times the lowest mean
 * that is likely, given the estimate and what may have ended since it was taken. All state is
 * guarded by this object's lock.
 */
public final class BoundedAdmission implements Admission {
  /** Requests that end while they are being counted are missed for about this long. */
  static final long TRANSIT_MILLIS = 5;

  /** The number of standard deviations by which the total load may fall unnoticed. */
  static final double DEVIATIONS = 3;

  private static final long RATE_WINDOW_MILLIS = 10_000;
  private static final long RETRY_MILLIS = 500;

  private final WorkspaceShares shares = new WorkspaceShares();
  private final ArrayDeque<Long> endTimes = new ArrayDeque<>();
  private ServiceSpec spec;
  private MeanEstimate mean = new MeanEstimate(0, 0, 0);
  private int inFlight;
  private boolean leaving;

  /** Creates an admission without requests in flight and without an estimate of the mean. */
  public BoundedAdmission(ServiceSpec spec) {
    this.spec = spec;
  }

  @Override
  public synchronized void configure(ServiceSpec newSpec, long nowMillis) {
    spec = newSpec;
  }

  @Override
  public synchronized void meanReported(MeanEstimate newMean, long nowMillis) {
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
    if (inFlight >= limit || inFlight > spec.loadMultiple() * lowestMean(nowMillis)) {
      return new AdmissionDecision.Reject(ErrorCode.OVERLOADED, RETRY_MILLIS);
    }
    if (shares.exceeds(workspace, spec, inFlight, limit)) {
      return new AdmissionDecision.Reject(ErrorCode.WORKSPACE_LIMIT, RETRY_MILLIS);
    }
    shares.started(workspace);
    inFlight++;
    return new AdmissionDecision.Admit();
  }

  /** Returns the lowest likely mean with one more request counted. */
  private double lowestMean(long nowMillis) {
    int live = Math.max(1, mean.liveUpstreams());
    if (live == 1) {
      return inFlight + 1;
    }
    long window = nowMillis - mean.takenAtMillis() + TRANSIT_MILLIS;
    forgetEnds(nowMillis);
    long ownEnds = endTimes.stream().filter(t -> nowMillis - t <= window).count();
    double endsPerMilli = (endTimes.size() + 1.0) / RATE_WINDOW_MILLIS;
    double othersEnds = endsPerMilli * window * (live - 1);
    double margin = Math.max(1, DEVIATIONS * Math.sqrt(2 * othersEnds));
    double total = mean.mean() * live - ownEnds - margin;
    return (Math.max(total, inFlight) + 1) / live;
  }

  private void forgetEnds(long nowMillis) {
    while (!endTimes.isEmpty() && nowMillis - endTimes.peekFirst() > RATE_WINDOW_MILLIS) {
      endTimes.removeFirst();
    }
  }

  @Override
  public synchronized void ended(String workspace, long nowMillis) {
    checkState(inFlight > 0, "no request in flight");
    inFlight--;
    shares.ended(workspace);
    forgetEnds(nowMillis);
    endTimes.addLast(nowMillis);
  }

  /** Returns whether one more request would put the upstream above the mean as last reported. */
  public synchronized boolean isBusy() {
    return mean.liveUpstreams() > 1 && inFlight + 1 > mean.mean();
  }

  @Override
  public synchronized int inFlight() {
    return inFlight;
  }

  @Override
  public synchronized void leave() {
    leaving = true;
  }
}
