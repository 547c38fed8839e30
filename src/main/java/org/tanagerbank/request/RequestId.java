package org.tanagerbank.request;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * The id of one round of a request of one entry incarnation; unique across the fleet and never
 * reused.
 *
 * <p>A sidecar that refused a request has sealed its id, so an entry that asks the same sidecars
 * again begins another round under the next id. Immutable and thread-safe.
 *
 * @param entryId the instance id of the entry that accepted the request
 * @param entryIncarnation the incarnation of that entry
 * @param sequence the number of the request within that incarnation, starting at 1, times {@link
 *     #ROUNDS}, plus the number of the round, starting at 0
 */
public record RequestId(String entryId, long entryIncarnation, long sequence) {
  /** The number of ids of a request. */
  public static final int ROUNDS = 64;

  public RequestId {
    checkNotNull(entryId);
    checkArgument(sequence > 0, "sequence must be positive: %s", sequence);
  }

  /** Returns the id of the first round of a request. */
  public static RequestId firstRound(String entryId, long entryIncarnation, long number) {
    return new RequestId(entryId, entryIncarnation, number * ROUNDS);
  }

  /** Returns the id of the next round, or empty if the request has used all its ids. */
  public Optional<RequestId> nextRound() {
    return (sequence + 1) % ROUNDS == 0
        ? Optional.empty()
        : Optional.of(new RequestId(entryId, entryIncarnation, sequence + 1));
  }

  /**
   * Returns the name of the request for upstreams, which is the same in all rounds. An engine may
   * repeat it in its answer, and another run must give the same bytes.
   */
  public String nameForUpstream() {
    return prefix() + sequence / ROUNDS;
  }

  @Override
  public String toString() {
    return prefix() + sequence;
  }

  private String prefix() {
    return entryId + "." + Long.toUnsignedString(entryIncarnation, 36) + ".";
  }
}
