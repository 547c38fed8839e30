package org.tanagerbank.configreplica;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.declaration.DeclarationFault;

/**
 * A reader's decision on one record of the log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offset the offset of the record
 * @param timeMillis when the log appended the record, in milliseconds since the epoch
 * @param record the decoded record
 * @param outcome the effect of the record
 * @param revision the revision that was accepted with the publish id of the record; 0 for LOST and
 *     INVALID, for records other than Publish, and if the reader knows no such revision
 * @param inForce the text that the reader adopted last, which is the text in force after the record
 *     if the reader is following; {@link AcceptedText#NONE} if it adopted none
 * @param faults the faults of the text for INVALID; otherwise empty
 */
public record RecordDecision(
    long offset,
    long timeMillis,
    ConfigRecord record,
    Outcome outcome,
    long revision,
    AcceptedText inForce,
    ImmutableList<DeclarationFault> faults) {
  /** The effect of a record. */
  public enum Outcome {
    /** The record is a Publish that put its text in force. */
    ACCEPTED,
    /** The record is a Publish whose publish id was accepted in an earlier record. */
    REPEAT,
    /** The record is a Publish whose base was not the revision in force. */
    LOST,
    /** The record is a Publish whose text is not a valid declaration. */
    INVALID,
    /** The record is a Snapshot. */
    SNAPSHOT,
    /** The bytes are not a valid record. */
    MALFORMED,
    /** The record is a Publish that was read before the reader knew the revision in force. */
    UNDECIDED,
    /** The record has a newer format version, and the reader stops at it. */
    UNSUPPORTED
  }
}
