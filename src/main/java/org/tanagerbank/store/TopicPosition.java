package org.tanagerbank.store;

/**
 * A position between two records of a topic. Immutable.
 *
 * <p>A store that was restored from an older copy begins a new era and gives out the offsets of the
 * lost records again. So offsets of different eras can't be compared.
 *
 * @param era the number of the era, which grows with each restore; 0 if the store names none
 * @param offset the offset of the next record
 */
public record TopicPosition(long era, long offset) {
  /** Returns the position after further records. */
  public TopicPosition plus(long records) {
    return new TopicPosition(era, offset + records);
  }

  /** Returns whether this position is in the era of another and behind it. */
  boolean isAfter(TopicPosition other) {
    return era == other.era && offset > other.offset;
  }
}
