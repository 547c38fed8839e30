package org.tanagerbank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults that follow from one seed, in the order of their start times.
 *
 * <p>Faults may overlap. Immutable and thread-safe.
 */
record FaultPlan(List<Fault> faults) {
  /** The kinds of faults; the seeds depend on their order. */
  enum Kind {
    KILL,
    PAUSE,
    TERMINATE,
    RELOAD,
    STORE_UNAVAILABLE,
    STORE_TRIMMED,
    UPSTREAM_DISRUPTED,
    UPSTREAM_REPLACED,
    CONFIG_CHANGED
  }

  /**
   * One fault.
   *
   * @param atMillis when the fault begins, in milliseconds after the start of traffic
   * @param target the index of the gateway or upstream that the fault applies to
   * @param durationMillis how long the fault lasts, if its kind has a duration
   * @param variant selects the mode of a disrupted upstream connection
   */
  record Fault(long atMillis, Kind kind, int target, long durationMillis, int variant) {}

  private static final long FIRST_FAULT_MILLIS = 500;

  /** The mean of the random part of the gap between two faults, which adds to 50 ms. */
  private static final int MEAN_RANDOM_GAP_MILLIS = 600;

  /**
   * Generates the plan of a seed.
   *
   * @param lengthMillis the length of the traffic, in milliseconds; no fault begins after it
   * @param targets the number of gateways, which equals the number of upstreams
   */
  static FaultPlan generate(long seed, long lengthMillis, int targets) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    long atMillis = FIRST_FAULT_MILLIS;
    while (atMillis < lengthMillis) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      faults.add(
          new Fault(
              atMillis,
              kind,
              random.nextInt(targets),
              200 + random.nextInt(1_300),
              random.nextInt(1_000)));
      atMillis += 50 + random.nextInt(2 * MEAN_RANDOM_GAP_MILLIS);
    }
    return new FaultPlan(List.copyOf(faults));
  }
}
