package org.tanagerbank.capacity;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;

/**
 * What is known of the speed of one process, and of the requests that it takes well.
 *
 * <p>Each response time is divided by the factor of {@link LoadCurve} for the requests that were in
 * flight, which leaves the time of a request at the idle process. Its moving average (of
 * logarithms) is kept for each of the compared limits. The limit under which times scatter least is
 * the learned one. Without requests, the estimate decays to the mean of the service. Not
 * thread-safe.
 */
public final class ProcessCapacity {
  /** The time constant of the decay of what was learned of the speed, in milliseconds. */
  static final double SPEED_DECAY_MILLIS = 3_000;

  /** The time constant of the decay of what was learned of the limit, in milliseconds. */
  private static final double LIMIT_DECAY_MILLIS = 20_000;

  /** Bounds the logarithm of the ratio by which the time of one request differs from the mean. */
  private static final double MAX_LOG_RATIO = 1;

  /** The weight of the mean of the service in an estimate, in requests. */
  private static final double PRIOR_REQUESTS = 1;

  /** The assumed variance of logarithms of times, and its weight in requests. */
  private static final double PRIOR_VARIANCE = 0.25;

  private static final double PRIOR_VARIANCE_REQUESTS = 10;

  /** The weight, in requests, of the assumption that the slots are the limit. */
  private static final double PRIOR_LIMIT_REQUESTS = 30;

  /**
   * The decrease of the variance at which a limit is taken to be lower than the slots, and the one
   * at which it no longer is.
   */
  private static final double MIN_LIMIT_GAIN = 0.03;

  private static final double MIN_KEPT_LIMIT_GAIN = 0.01;

  /** The time, in milliseconds, for which a reported speed of the machine holds. */
  private static final long PERCENT_VALID_MILLIS = 300;

  /**
   * The least uncertainty of an estimate, as a standard deviation of its logarithm. Upstreams that
   * differ by less are chosen at random, so that gateways with the same news do not all choose the
   * same one.
   */
  private static final double MIN_DEVIATION = 0.05;

  /** The logarithm of the ratio of times that counts as a change of speed. */
  private static final double MIN_CHANGE = Math.log(1.5);

  /** The requests on which an estimate must rest to show a change of speed. */
  private static final double MIN_CHANGE_REQUESTS = 5;

  private final ServiceCapacity service;
  private final int process;
  private int slots;

  /** The mean logarithm of the time at the idle process, for each of the compared limits. */
  private final double[] logTimes = new double[LoadCurve.LIMITS];

  /** The decrease of the sum of squared deviations by each limit, against the first limit. */
  private final double[] limitGains = new double[LoadCurve.LIMITS];

  private double speedWeight;
  private double limitWeight;
  private double squareSum;
  private int limitIndex;
  private long learnedAtMillis;
  private int workPercent = 100;
  private long percentAtMillis = Long.MIN_VALUE / 2;
  private double meanLogPercent;
  private OptionalDouble shownLogTime = OptionalDouble.empty();
  private boolean isPercentUntold;
  private final UntoldTimes untold = new UntoldTimes();

  ProcessCapacity(ServiceCapacity service, int process, int slots) {
    this.service = service;
    this.process = process;
    this.slots = slots;
  }

  /** Returns the hash that identifies the process among gateways. */
  public int process() {
    return process;
  }

  /** Sets the number of requests that the process works on at the same time. */
  public void setSlots(int newSlots) {
    slots = newSlots;
  }

  /** Forgets the process, which no longer takes requests. */
  public void close() {
    service.remove(this);
  }

  /**
   * Records a response to a request of this gateway.
   *
   * @param inFlight the requests in flight there when it was sent, including itself
   * @param time the response time, in the unit of {@link ResponseTimes}
   */
  public void responded(int inFlight, double time, long nowMillis) {
    double logTime = Math.log(Math.max(1e-3, time)) - logPercent(nowMillis);
    int requests = Math.max(1, inFlight);
    learn(requests, 1, logTime, nowMillis);
    untold.add(requests, logTime, slots);
  }

  /** Records how long work takes on the machine now, in percent of the usual time. */
  public void recordWorkPercent(int percent, long nowMillis) {
    isPercentUntold = true;
    mergePercent(percent, nowMillis);
  }

  private void mergePercent(int percent, long nowMillis) {
    double sinceLast = Math.min(SPEED_DECAY_MILLIS, nowMillis - percentAtMillis);
    double gain = 1 - Math.exp(-Math.max(1, sinceLast) / SPEED_DECAY_MILLIS);
    meanLogPercent += gain * (Math.log(percent / 100.0) - meanLogPercent);
    workPercent = percent;
    percentAtMillis = nowMillis;
  }

  private double logPercent(long nowMillis) {
    return isPercentFresh(nowMillis) ? Math.log(workPercent / 100.0) : meanLogPercent;
  }

  private boolean isPercentFresh(long nowMillis) {
    return nowMillis - percentAtMillis < PERCENT_VALID_MILLIS;
  }

  /** Returns whether the machine was reported to be faster or slower than usual of late. */
  boolean reportsOtherSpeed(long nowMillis) {
    return Math.abs(meanLogPercent) > 0.01 && nowMillis - percentAtMillis < LIMIT_DECAY_MILLIS;
  }

  /** Returns whether there is anything to tell other gateways. */
  public boolean hasNews() {
    return isPercentUntold || !untold.isEmpty();
  }

  /** Returns what other gateways have not been told, and counts it as told. */
  public CapacityNews takeNews(long nowMillis) {
    boolean tellsPercent = isPercentUntold && isPercentFresh(nowMillis);
    isPercentUntold = false;
    return new CapacityNews(
        process,
        untold.take(),
        tellsPercent ? OptionalInt.of(workPercent) : OptionalInt.empty(),
        Optional.empty());
  }

  /** Returns the whole estimate for a gateway that has just started, if there is one. */
  public Optional<CapacityNews> estimateNews(long nowMillis) {
    decay(nowMillis);
    if (speedWeight < PRIOR_REQUESTS) {
      return Optional.empty();
    }
    CapacityEstimate estimate =
        new CapacityEstimate(speedWeight, Math.exp(logTimes[limitIndex]), limitIndex);
    return Optional.of(
        new CapacityNews(process, ImmutableList.of(), OptionalInt.empty(), Optional.of(estimate)));
  }

  /** Takes in what another gateway tells of the process; values that cannot be are ignored. */
  public void merge(CapacityNews news, long nowMillis) {
    news.workPercent().ifPresent(p -> mergeReported(p, nowMillis));
    news.times().stream()
        .filter(ResponseTimes::isValid)
        .forEach(t -> learn(t.inFlight(), t.requests(), Math.log(t.time()), nowMillis));
    news.estimate().filter(CapacityEstimate::isValid).ifPresent(e -> adopt(e, nowMillis));
  }

  private void mergeReported(int percent, long nowMillis) {
    if (percent > 0) {
      mergePercent(percent, nowMillis);
    }
  }

  /** Adopts the estimate of another gateway if it rests on more requests than the own one. */
  private void adopt(CapacityEstimate estimate, long nowMillis) {
    decay(nowMillis);
    if (estimate.weight() > speedWeight) {
      speedWeight = estimate.weight();
      Arrays.fill(logTimes, Math.log(estimate.time()));
      limitIndex = estimate.limitIndex();
      limitWeight = Math.max(limitWeight, PRIOR_LIMIT_REQUESTS);
      limitGains[limitIndex] = 2 * MIN_LIMIT_GAIN * (limitWeight + PRIOR_LIMIT_REQUESTS);
    }
  }

  private void learn(double inFlight, int requests, double logTime, long nowMillis) {
    decay(nowMillis);
    double gain = requests / (speedWeight + requests);
    double firstSquare = 0;
    for (int i = 0; i < LoadCurve.LIMITS; i++) {
      double logFactor = Math.log(LoadCurve.factor(inFlight, LoadCurve.limit(i, slots)));
      double deviation = speedWeight == 0 ? 0 : bounded(logTime - logFactor - logTimes[i]);
      logTimes[i] = speedWeight == 0 ? logTime - logFactor : logTimes[i] + gain * deviation;
      double square = deviation * deviation;
      firstSquare = i == 0 ? square : firstSquare;
      limitGains[i] += requests * (firstSquare - square);
      squareSum += i == limitIndex ? requests * square : 0;
    }
    speedWeight += requests;
    limitWeight += requests;
    chooseLimit();
  }

  private static double bounded(double logRatio) {
    return Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
  }

  private void decay(long nowMillis) {
    double elapsed = Math.max(0, nowMillis - learnedAtMillis);
    if (elapsed > 0) {
      speedWeight *= Math.exp(-elapsed / SPEED_DECAY_MILLIS);
      double limitDecay = Math.exp(-elapsed / LIMIT_DECAY_MILLIS);
      limitWeight *= limitDecay;
      squareSum *= limitDecay;
      for (int i = 1; i < LoadCurve.LIMITS; i++) {
        limitGains[i] *= limitDecay;
      }
      learnedAtMillis = nowMillis;
    }
  }

  private void chooseLimit() {
    int best = 0;
    for (int i = 1; i < LoadCurve.LIMITS; i++) {
      best = limitGains[i] > limitGains[best] ? i : best;
    }
    double weight = limitWeight + PRIOR_LIMIT_REQUESTS;
    double needed = limitIndex == 0 ? MIN_LIMIT_GAIN : MIN_KEPT_LIMIT_GAIN;
    limitIndex = limitGains[best] / weight > needed ? best : 0;
  }

  /**
   * Returns the time of a request as a multiple of that at the last change, if it has changed by
   * more than a factor of 1.5 since then or since it was first known.
   */
  public OptionalDouble takeChange(long nowMillis) {
    if (weight(nowMillis) < MIN_CHANGE_REQUESTS) {
      return OptionalDouble.empty();
    }
    double logTime = ownLogTime() + meanLogPercent;
    double logRatio = logTime - shownLogTime.orElse(logTime);
    boolean hasChanged = Math.abs(logRatio) > MIN_CHANGE;
    if (hasChanged || shownLogTime.isEmpty()) {
      shownLogTime = OptionalDouble.of(logTime);
    }
    return hasChanged ? OptionalDouble.of(Math.exp(logRatio)) : OptionalDouble.empty();
  }

  /** Returns the requests on which the estimate rests, recent ones counting most. */
  double weight(long nowMillis) {
    return speedWeight * Math.exp(-Math.max(0, nowMillis - learnedAtMillis) / SPEED_DECAY_MILLIS);
  }

  /** Returns the mean logarithm of the time at the idle process, from its own requests. */
  double ownLogTime() {
    return logTimes[limitIndex];
  }

  /** Returns the estimated logarithm of the time at the idle process at its usual speed. */
  double logTime(long nowMillis) {
    double weight = weight(nowMillis);
    double prior = service.meanLogTime(nowMillis);
    return prior + (ownLogTime() - prior) * weight / (weight + PRIOR_REQUESTS);
  }

  double variance() {
    return (squareSum + PRIOR_VARIANCE * PRIOR_VARIANCE_REQUESTS)
        / (limitWeight + PRIOR_VARIANCE_REQUESTS);
  }

  /** Returns the standard deviation of the error of {@link #logTime}. */
  double deviation(long nowMillis) {
    return Math.sqrt(variance() / (weight(nowMillis) + PRIOR_REQUESTS));
  }

  boolean hasLowLimit() {
    return limitIndex > 0;
  }

  /** Returns the number of requests beyond which more of them are slower rather than more done. */
  public double takesWell() {
    return LoadCurve.limit(limitIndex, slots);
  }

  /** Returns the time of a request as a multiple of the mean of the service, without queueing. */
  public double relativeTime(long nowMillis) {
    return Math.exp(logTime(nowMillis) + meanLogPercent - service.meanLogTime(nowMillis));
  }

  /**
   * Returns the expected time of one more request, in the unit of {@link ResponseTimes}, or 0 while
   * nothing is known of the service.
   *
   * @param inFlight the requests in flight there now
   */
  public double expectedTime(int inFlight, long nowMillis) {
    return service.isKnown(nowMillis)
        ? Math.exp(logTime(nowMillis) + variance() / 2 + logPercent(nowMillis))
            * LoadCurve.factor(inFlight + 1, takesWell())
        : 0;
  }

  /**
   * Returns the cost of sending one more request there: its expected time and the delay of the
   * others by it, as a multiple of the usual time of the service. The time is drawn from the
   * distribution of the estimate, so that uncertain upstreams are tried again at times and the
   * gateways do not all make the same choice.
   *
   * @param inFlight the requests in flight there now
   */
  public double cost(int inFlight, long nowMillis, RandomGenerator random) {
    double deviation = Math.max(MIN_DEVIATION, deviation(nowMillis));
    double logCost =
        logTime(nowMillis)
            + deviation * random.nextGaussian()
            + logPercent(nowMillis)
            - service.meanLogTime(nowMillis);
    return Math.exp(logCost) * LoadCurve.marginalFactor(inFlight + 1, takesWell());
  }
}
