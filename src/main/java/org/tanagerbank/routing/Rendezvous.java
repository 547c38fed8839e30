package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Rendezvous hashing: assigns a key to the instances with the highest hash.
 *
 * <p>Processes with the same instance list choose the same instance; a change of the list moves
 * only the keys of the instances that changed. Stateless and thread-safe.
 */
public final class Rendezvous {
  private static final Comparator<Candidate> BY_HASH =
      Comparator.comparingLong(Candidate::hash).thenComparing(Candidate::id);

  /** An instance with its hash for a key, which takes longer to compute than to compare. */
  private record Candidate(String id, long hash) {}

  private Rendezvous() {}

  /** Returns the instance to which a key is assigned, or empty when there are no instances. */
  public static Optional<String> choose(String key, Collection<String> instanceIds) {
    return candidates(key, instanceIds).max(BY_HASH).map(Candidate::id);
  }

  /**
   * Returns the instances to which a key is assigned, at most {@code count}, in descending hash
   * order.
   */
  public static ImmutableList<String> choose(
      String key, Collection<String> instanceIds, int count) {
    return candidates(key, instanceIds)
        .sorted(BY_HASH.reversed())
        .limit(count)
        .map(Candidate::id)
        .collect(ImmutableList.toImmutableList());
  }

  private static Stream<Candidate> candidates(String key, Collection<String> instanceIds) {
    long seed = SlotTable.idHash(key);
    return instanceIds.stream()
        .map(id -> new Candidate(id, SlotTable.mixBits(SlotTable.idHash(id) ^ seed)));
  }

  /**
   * Returns the entry to which a sidecar reports its load.
   *
   * @param entryIds the ids of the entries of the zone of the sidecar
   */
  public static Optional<String> reportingEntry(String sidecarId, Collection<String> entryIds) {
    return choose("report " + sidecarId, entryIds);
  }

  /**
   * Returns the entry that aggregates the load of a service for a zone.
   *
   * @param entryIdsOfZone the ids of the entries of the zone
   */
  public static Optional<String> aggregator(String service, Collection<String> entryIdsOfZone) {
    return choose("aggregate " + service, entryIdsOfZone);
  }
}
