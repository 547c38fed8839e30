package org.tanagerbank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The faults of one seed, in the order of their times; several may overlap. Immutable. */
record SoakPlan(List<Fault> faults) {
  /** What happens. */
  enum Kind {
    KILL,
    PAUSE,
    TERMINATE,
    RELOAD,
    STORE_REFUSES,
    STORE_FORGETS,
    UPSTREAM_HARMED,
    UPSTREAM_REPLACED,
    CONFIG_CHANGED
  }

  /**
   * One fault.
   *
   * @param atMillis when it begins, from the start of traffic
   * @param target which gateway or upstream it meets
   * @param forMillis how long it lasts, where it lasts
   * @param draw a number that picks among variants
   */
  record Fault(long atMillis, Kind kind, int target, long forMillis, int draw) {}

  private static final long FIRST_MILLIS = 500;
  private static final int MEAN_GAP_MILLIS = 600;

  static SoakPlan draw(long seed, long lengthMillis, int targets) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    long at = FIRST_MILLIS;
    while (at < lengthMillis) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      faults.add(
          new Fault(
              at,
              kind,
              random.nextInt(targets),
              200 + random.nextInt(1_300),
              random.nextInt(1_000)));
      at += 50 + random.nextInt(2 * MEAN_GAP_MILLIS);
    }
    return new SoakPlan(List.copyOf(faults));
  }
}
