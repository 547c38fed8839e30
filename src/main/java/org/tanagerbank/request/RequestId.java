package org.tanagerbank.request;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The id of a request of one entry incarnation; unique across the fleet and never reused.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entryId the instance id of the entry that accepted the request
 * @param entryIncarnation the incarnation of that entry
 * @param sequence the sequence number of the request within that incarnation, starting at 1
 */
public record RequestId(String entryId, long entryIncarnation, long sequence) {
  public RequestId {
    checkNotNull(entryId);
    checkArgument(sequence > 0, "sequence must be positive: %s", sequence);
  }

  @Override
  public String toString() {
    return entryId + "." + Long.toUnsignedString(entryIncarnation, 36) + "." + sequence;
  }
}
