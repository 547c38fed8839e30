package org.tanagerbank.peer;

import com.google.common.collect.ImmutableSortedMap;

/**
 * The requests that an instance has in flight at the upstreams of a range of ids. Immutable.
 *
 * @param after the id before the first id of the range; empty if the range has no begin
 * @param until the last id of the range; empty if the range has no end
 * @param inFlight the number of requests by upstream id; upstreams of the range without requests
 *     are absent
 */
public record WorkRange(String after, String until, ImmutableSortedMap<String, Integer> inFlight) {
  /** Returns a range of all upstreams. */
  static WorkRange ofAll(ImmutableSortedMap<String, Integer> inFlight) {
    return new WorkRange("", "", inFlight);
  }

  /** Returns a table of the requests at all upstreams in which this range replaces what it was. */
  ImmutableSortedMap<String, Integer> replaceIn(ImmutableSortedMap<String, Integer> table) {
    ImmutableSortedMap.Builder<String, Integer> replaced = ImmutableSortedMap.naturalOrder();
    replaced.putAll(table.headMap(after, /* inclusive= */ true));
    replaced.putAll(inFlight);
    if (!until.isEmpty()) {
      replaced.putAll(table.tailMap(until, /* inclusive= */ false));
    }
    return replaced.buildOrThrow();
  }
}
