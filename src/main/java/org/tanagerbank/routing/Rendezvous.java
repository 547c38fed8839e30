package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Assigns a piece of work to one of several instances by the highest hash.
 *
 * <p>Processes with the same list choose the same instance; a change of the list moves only the
 * work of the instances that changed. Stateless and thread-safe.
 */
public final class Rendezvous {
  private Rendezvous() {}

  /** Returns the instance that does a piece of work, or nothing when there is no instance. */
  public static Optional<String> choose(String work, Collection<String> instanceIds) {
    return instanceIds.stream().max(byHash(work));
  }

  /** Returns up to a number of instances that each do a piece of work. */
  public static ImmutableList<String> choose(
      String work, Collection<String> instanceIds, int count) {
    return instanceIds.stream()
        .sorted(byHash(work).reversed())
        .limit(count)
        .collect(ImmutableList.toImmutableList());
  }

  private static Comparator<String> byHash(String work) {
    long seed = SlotTable.idHash(work);
    return Comparator.<String>comparingLong(id -> SlotTable.mix(SlotTable.idHash(id) ^ seed))
        .thenComparing(Comparator.naturalOrder());
  }

  /** Returns the entry to which a sidecar reports, out of the entries of its zone. */
  public static Optional<String> reportingEntry(String sidecarId, Collection<String> entryIds) {
    return choose("report " + sidecarId, entryIds);
  }

  /** Returns the entry that sums the load of a service for a zone. */
  public static Optional<String> aggregator(String service, Collection<String> entryIdsOfZone) {
    return choose("aggregate " + service, entryIdsOfZone);
  }
}
