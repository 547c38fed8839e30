package org.tanagerbank.capacity;

import com.google.common.collect.ImmutableList;

/**
 * The response times that other gateways have not been told, summed by the load that the requests
 * met. Not thread-safe.
 */
final class UntoldTimes {
  /** Divides the loads up to twice the slots; one more group holds all higher loads. */
  private static final int GROUPS_PER_SLOTS = 3;

  private static final int GROUPS = 2 * GROUPS_PER_SLOTS;

  private final int[] requests = new int[GROUPS];
  private final double[] inFlightSums = new double[GROUPS];
  private final double[] logTimeSums = new double[GROUPS];
  private boolean isEmpty = true;

  void add(double inFlight, double logTime, int slots) {
    int group = (int) Math.min(GROUPS - 1, GROUPS_PER_SLOTS * (inFlight - 1) / slots);
    requests[group]++;
    inFlightSums[group] += inFlight;
    logTimeSums[group] += logTime;
    isEmpty = false;
  }

  boolean isEmpty() {
    return isEmpty;
  }

  /** Returns the times and forgets them. */
  ImmutableList<ResponseTimes> take() {
    ImmutableList.Builder<ResponseTimes> times = ImmutableList.builder();
    for (int i = 0; i < GROUPS; i++) {
      if (requests[i] > 0) {
        times.add(
            new ResponseTimes(
                inFlightSums[i] / requests[i],
                requests[i],
                Math.exp(logTimeSums[i] / requests[i])));
      }
      requests[i] = 0;
      inFlightSums[i] = 0;
      logTimeSums[i] = 0;
    }
    isEmpty = true;
    return times.build();
  }
}
