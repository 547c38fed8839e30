package org.tanagerbank.bench;

/** What goes wrong during a policy measurement. */
enum BenchScenario {
  /** Nothing. */
  STEADY,
  /** Engines crash, leave, join and flap. */
  CHURN,
  /** Entries see different instance lists for seconds. */
  DISAGREEMENT,
  /** One workspace multiplies its traffic. */
  SURGE,
  /** Load reports are seconds old. */
  LAG,
  /** One zone is cut off for a time, then rejoins. */
  PARTITION
}
