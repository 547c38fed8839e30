package org.tanagerbank.zone;

import org.tanagerbank.store.TopicPosition;

/**
 * The beginning or the end of the evacuation of a zone. Immutable.
 *
 * @param position the position of the topic up to which it was read when this was decided
 */
public record EvacuationChange(String zone, TopicPosition position, Cause cause) {
  /** Why an evacuation began or ended. */
  public enum Cause {
    /** An order was read. */
    ORDERED,
    /** The record of the order was removed. */
    REMOVED,
    /** The order is missing in a store that was restored, and was not written again in time. */
    MISSING_AFTER_RESTORE
  }

  /** Returns whether the zone is evacuated from now on. */
  public boolean isBeginning() {
    return cause == Cause.ORDERED;
  }
}
