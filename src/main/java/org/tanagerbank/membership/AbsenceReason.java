package org.tanagerbank.membership;

/** The reason why a known instance is not used. */
public enum AbsenceReason {
  /**
   * It announced that it is leaving, or the list shows it as leaving; only a new incarnation
   * returns.
   */
  LEAVING,
  /** A frame was received from it, but no address at which it accepts links is known. */
  NO_ADDRESS,
  /** It is missing from the list and there is no recent evidence from a link that it is alive. */
  NOT_LISTED,
  /** Its link failed or went silent, and the back-off has not elapsed. */
  LINK_DOWN,
  /** It left and returned too often and is delayed by flap damping. */
  FLAPPING
}
