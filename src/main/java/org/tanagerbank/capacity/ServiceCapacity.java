package org.tanagerbank.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * The capacities of the processes of one service. They share a prior, and decide together whether
 * the processes differ so much that requests are placed by learned times. Not thread-safe.
 */
public final class ServiceCapacity {
  /** The time, in milliseconds, for which the mean and the comparison of processes are kept. */
  private static final long REFRESH_MILLIS = 50;

  /** The ratio of times beyond which processes count as different, and the one that ends this. */
  private static final double MIN_RATIO = Math.log(1.35);

  private static final double MIN_KEPT_RATIO = Math.log(1.15);

  /** The number of standard deviations by which times must differ. */
  private static final double MIN_DEVIATIONS = 4;

  private final List<ProcessCapacity> processes = new ArrayList<>();
  private long refreshedAtMillis = Long.MIN_VALUE / 2;
  private double meanLogTime;
  private double weight;
  private boolean differs;

  /** Adds a process of which nothing is known. */
  public ProcessCapacity add(int process, int slots) {
    ProcessCapacity added = new ProcessCapacity(this, process, slots);
    processes.add(added);
    return added;
  }

  void remove(ProcessCapacity process) {
    processes.remove(process);
  }

  /**
   * Returns whether the processes differ in speed, or take fewer requests well than they have
   * slots, so that requests are to be placed by their expected times.
   */
  public boolean differs(long nowMillis) {
    refresh(nowMillis);
    return differs;
  }

  /** Returns whether any time was learned. */
  boolean isKnown(long nowMillis) {
    refresh(nowMillis);
    return weight > 0;
  }

  /** Returns the mean logarithm of the times at the idle processes. */
  double meanLogTime(long nowMillis) {
    refresh(nowMillis);
    return meanLogTime;
  }

  private void refresh(long nowMillis) {
    if (nowMillis - refreshedAtMillis < REFRESH_MILLIS) {
      return;
    }
    refreshedAtMillis = nowMillis;
    double sum = 0;
    weight = 0;
    for (ProcessCapacity process : processes) {
      double own = process.weight(nowMillis);
      weight += own;
      sum += own * process.ownLogTime();
    }
    meanLogTime = weight > 0 ? sum / weight : meanLogTime;
    differs =
        processes.size() > 1
            && processes.stream().anyMatch(p -> p.hasLowLimit() || isOther(p, nowMillis));
  }

  private boolean isOther(ProcessCapacity process, long nowMillis) {
    double logRatio = Math.abs(process.logTime(nowMillis) - meanLogTime);
    return process.reportsOtherSpeed(nowMillis)
        || (differs
            ? logRatio > MIN_KEPT_RATIO
            : logRatio > MIN_RATIO && logRatio > MIN_DEVIATIONS * process.deviation(nowMillis));
  }
}
