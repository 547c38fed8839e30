package org.tanagerbank.membership;

/** Why an instance that is known is not used. */
public enum Absence {
  /** It said that it is leaving, or the list says so; only a new incarnation returns. */
  LEAVING,
  /** It spoke over a link, but no address is known at which it accepts links. */
  NO_ADDRESS,
  /** The list no longer has it and it does not answer on a link. */
  NOT_LISTED,
  /** Its link failed or went silent, and the back-off has not passed. */
  LINK_DOWN,
  /** It left and returned too often and waits. */
  FLAPPING
}
