package org.tanagerbank.rollout;

/** How far an instance could learn of new versions in the last seconds. */
public enum Contact {
  /** Nothing disturbed the instance, the store or the path between them. */
  IN_TOUCH,
  /** The store turned the instance away and served the others, which it reached. */
  TURNED_AWAY,
  /** The instance or the store was disturbed, or a network path was. */
  OUT_OF_TOUCH
}
