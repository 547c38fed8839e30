package org.tanagerbank.soak;

import com.google.common.collect.ImmutableList;
import java.util.EnumSet;
import java.util.SplittableRandom;

/** The faults of a seed of the rollout soak, in the order of their times. Immutable. */
record RolloutPlan(ImmutableList<Fault> faults) {
  /** The kinds of faults; the seeds depend on their order. */
  enum Kind {
    KILL,
    PAUSE,
    TERMINATE,
    STORE_AWAY,
    STORE_SLOW,
    ANSWERS_LOST,
    STORE_TRIMMED,
    PATH_DISRUPTED,
    STORE_RESTORED,
    TURNED_AWAY
  }

  /**
   * One fault.
   *
   * @param atMillis when it begins, in milliseconds after the start of traffic
   * @param target the gateway that it concerns, for some kinds
   * @param millis how long it lasts
   * @param variant chooses between its forms, for some kinds
   */
  record Fault(long atMillis, Kind kind, int target, long millis, int variant) {}

  private static final int MIN_GAP_MILLIS = 300;

  /** Rules hold only some seconds after a fault, so that some seeds have long gaps. */
  private static final int MAX_RANDOM_GAP_MILLIS = 12_000;

  /** Returns the plan of a seed with faults of the given kinds. */
  static RolloutPlan generate(long seed, EnumSet<Kind> kinds, long lengthMillis, int targets) {
    SplittableRandom random = new SplittableRandom(seed);
    ImmutableList<Kind> drawn = ImmutableList.copyOf(kinds);
    int gapMillis = 500 + random.nextInt(MAX_RANDOM_GAP_MILLIS);
    ImmutableList.Builder<Fault> faults = ImmutableList.builder();
    for (long at = MIN_GAP_MILLIS; at < lengthMillis && !drawn.isEmpty(); ) {
      Kind kind = drawn.get(random.nextInt(drawn.size()));
      int target = random.nextInt(targets);
      faults.add(new Fault(at, kind, target, 200 + random.nextInt(1_800), random.nextInt(1_000)));
      at += MIN_GAP_MILLIS + random.nextInt(gapMillis);
    }
    return new RolloutPlan(faults.build());
  }
}
