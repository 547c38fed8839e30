package org.tanagerbank.rollout;

/**
 * A probe that shows that a rule on the rollout of configurations was broken. Immutable.
 *
 * @param probe the probe
 * @param detail what of it breaks the rule
 */
public record RolloutViolation(Rule rule, ConfigProbe probe, String detail) {
  /** The rules on the rollout of configurations. */
  public enum Rule {
    /** A confirmed version is in force after a time. */
    ADOPTED_IN_TIME,
    /** A withdrawn key is refused after a time, whatever fails. */
    KEY_REVOKED,
    /** An instance that has used a version uses no older one. */
    NO_ROLLBACK
  }
}
