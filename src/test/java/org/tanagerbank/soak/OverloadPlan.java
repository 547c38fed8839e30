package org.tanagerbank.soak;

import static java.util.Collections.nCopies;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * The load and the faults that follow from one seed.
 *
 * <p>Faults are in the order of their start times; they come in series and may overlap. Immutable
 * and thread-safe.
 *
 * @param phases the phases of the load, each of which lasts {@link #PHASE_MILLIS}
 */
record OverloadPlan(List<Load> phases, List<Fault> faults) {
  static final long PHASE_MILLIS = 1_000;

  /** How callers behave in a phase. */
  enum Load {
    /** A few callers that pause between requests. */
    NORMAL,
    /** More requests at once than all slots and queues hold. */
    FULL,
    /** As many, and half of the callers repeat refused requests at once. */
    STORM
  }

  /** The kinds of faults; the seeds depend on their order. */
  enum Kind {
    GATEWAY_KILLED,
    GATEWAY_PAUSED,
    GATEWAY_TERMINATED,
    GATEWAY_RELOADED,
    GATEWAY_ADDED,
    ENGINE_KILLED,
    ENGINE_KILLED_AND_REPLACED,
    ENGINE_TERMINATED,
    LINK_DISRUPTED,
    ENGINE_MISBEHAVES,
    STORE_UNAVAILABLE
  }

  /**
   * One fault.
   *
   * @param atMillis when the fault begins, in milliseconds after the start of traffic
   * @param target selects the gateway or engine that the fault applies to
   * @param durationMillis how long the fault lasts, if its kind has a duration
   * @param variant selects the mode of a link or the misbehaviour of an engine
   */
  record Fault(long atMillis, Kind kind, int target, long durationMillis, int variant) {}

  /** The loads that are drawn after the first, which is normal. */
  private static final Load[] LATER_LOADS = {
    Load.NORMAL, Load.FULL, Load.FULL, Load.STORM, Load.STORM
  };

  /** The number of phases that a drawn load lasts. */
  private static final int DRAWN_PHASES = 2;

  /**
   * Waves of load: a quiet time in which gateways gather unused retries for a window of 10 s, then
   * two waves of which the second begins 8 s after the first, so that one window has parts of both.
   */
  private static final List<Load> WAVES =
      Stream.of(
              nCopies(12, Load.NORMAL),
              nCopies(2, Load.FULL),
              nCopies(6, Load.NORMAL),
              nCopies(4, Load.FULL))
          .flatMap(List::stream)
          .toList();

  /** One seed of this many has waves of load. */
  private static final int WAVES_DIVISOR = 3;

  /** The faults that neither hold callers up nor make gateways gather unused retries anew. */
  private static final EnumSet<Kind> FAULTS_WITH_WAVES =
      EnumSet.of(
          Kind.GATEWAY_RELOADED,
          Kind.GATEWAY_ADDED,
          Kind.ENGINE_KILLED,
          Kind.ENGINE_KILLED_AND_REPLACED,
          Kind.ENGINE_TERMINATED);

  private static final long FIRST_FAULT_WITH_WAVES_MILLIS = 10_000;
  private static final long FIRST_FAULT_MILLIS = 500;
  private static final int MEAN_RANDOM_GAP_MILLIS = 450;

  /**
   * Generates the plan of a seed.
   *
   * @param lengthMillis the length of the traffic unless it comes in waves
   */
  static OverloadPlan generate(long seed, long lengthMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean hasWaves = seed % WAVES_DIVISOR == 0;
    List<Load> phases = hasWaves ? WAVES : drawPhases(random, lengthMillis);
    List<Kind> kinds = drawnKinds(hasWaves ? FAULTS_WITH_WAVES : EnumSet.allOf(Kind.class));
    long firstMillis = hasWaves ? FIRST_FAULT_WITH_WAVES_MILLIS : FIRST_FAULT_MILLIS;
    long endMillis = phases.size() * PHASE_MILLIS;
    return new OverloadPlan(phases, drawFaults(random, kinds, firstMillis, endMillis));
  }

  private static List<Load> drawPhases(SplittableRandom random, long lengthMillis) {
    List<Load> phases = new ArrayList<>(nCopies(DRAWN_PHASES, Load.NORMAL));
    while (phases.size() * PHASE_MILLIS < lengthMillis) {
      phases.addAll(nCopies(DRAWN_PHASES, LATER_LOADS[random.nextInt(LATER_LOADS.length)]));
    }
    return List.copyOf(phases);
  }

  private static List<Fault> drawFaults(
      SplittableRandom random, List<Kind> kinds, long firstMillis, long endMillis) {
    List<Fault> faults = new ArrayList<>();
    long atMillis = firstMillis;
    while (atMillis < endMillis) {
      faults.add(
          new Fault(
              atMillis,
              kinds.get(random.nextInt(kinds.size())),
              random.nextInt(1_000),
              300 + random.nextInt(2_000),
              random.nextInt(1_000)));
      atMillis += 50 + random.nextInt(2 * MEAN_RANDOM_GAP_MILLIS);
    }
    return List.copyOf(faults);
  }

  /** Returns kinds to draw from: misbehaving engines are as frequent as all others together. */
  private static List<Kind> drawnKinds(EnumSet<Kind> allowed) {
    List<Kind> kinds = new ArrayList<>(allowed);
    kinds.addAll(nCopies(kinds.size(), Kind.ENGINE_MISBEHAVES));
    return kinds;
  }

  /** Returns the load at a time after the start of traffic. */
  Load loadAt(long elapsedMillis) {
    int phase = (int) Math.min(phases.size() - 1, elapsedMillis / PHASE_MILLIS);
    return phases.get(phase);
  }
}
