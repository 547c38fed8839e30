package org.tanagerbank.adoption;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.declaration.Fault;

/**
 * What one record of the log did.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offset the position of the record
 * @param timeMillis when the log accepted it
 * @param record the record
 * @param outcome what it did
 * @param revision the revision that carries the record's publish id, for ACCEPTED and REPEAT;
 *     otherwise 0
 * @param inForce the text in force after the record; {@link AcceptedText#NONE} while unknown
 * @param faults the faults of the text, for INVALID
 */
public record RecordDecision(
    long offset,
    long timeMillis,
    ConfigRecord record,
    Outcome outcome,
    long revision,
    AcceptedText inForce,
    ImmutableList<Fault> faults) {
  /** What a record did. */
  public enum Outcome {
    /** A Publish that put its text in force. */
    ACCEPTED,
    /** A Publish whose wish was already accepted with an earlier record. */
    REPEAT,
    /** A Publish whose base was not the revision in force. */
    LOST,
    /** A Publish whose text has faults. */
    INVALID,
    /** A Snapshot. */
    SNAPSHOT,
    /** Bytes that are no record. */
    MALFORMED,
    /** A Publish read before the reader knew the revision in force. */
    UNDECIDED,
    /** A record of a later format, at which the reader stops. */
    UNSUPPORTED
  }
}
