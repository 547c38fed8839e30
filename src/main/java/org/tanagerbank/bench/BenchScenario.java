package org.tanagerbank.bench;

/** The fault or change that is simulated during the comparison of policies. */
enum BenchScenario {
  /** No fault, and no change of the fleet. */
  STEADY,
  /** Engines crash, leave, join and restart repeatedly. */
  CHURN,
  /** Engines change as in {@link #CHURN}, and entries have different instance lists for seconds. */
  DISAGREEMENT,
  /** The traffic of one workspace multiplies for a part of the run. */
  SURGE,
  /** Load reports of sidecars and, if so configured, load sums of entries arrive late. */
  LAG,
  /** A network partition separates one zone from the others for a part of the run. */
  PARTITION
}
