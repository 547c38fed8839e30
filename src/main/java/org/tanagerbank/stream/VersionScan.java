package org.tanagerbank.stream;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Finds out which software versions upstreams had, from the reports that the store still has.
 *
 * <p>Reports carry no time, and the store may delete old ones at any time or lose some. An upstream
 * numbers its reports, which it writes at a regular interval; a store may keep only those that
 * bring a change. So unless no report was ever deleted, those that are left cover as many intervals
 * as one upstream has written reports in a row. A number that is missing ends what is covered,
 * whatever its cause. Not thread-safe.
 */
public final class VersionScan {
  private record Process(String id, long startedAtMillis) {}

  /** The numbers of the reports of one process since the last gap. */
  private record Numbers(long first, long last) {
    private long count() {
      return last - first;
    }
  }

  private final Set<StreamOrigin> origins = new HashSet<>();
  private final Map<Process, Numbers> numbers = new HashMap<>();

  /** Adds the next report, in the order in which they were written. */
  public void add(UpstreamReport report) {
    origins.add(StreamOrigin.of(report));
    Process process = new Process(report.id(), report.startedAtMillis());
    long number = report.reportNumber();
    Numbers before = numbers.get(process);
    if (before != null && number > before.last() + 1) {
      numbers.clear();
      before = null;
    }
    numbers.put(
        process,
        before == null
            ? new Numbers(number, number)
            : new Numbers(before.first(), Math.max(before.last(), number)));
  }

  /**
   * Returns the versions, and the time that the reports cover.
   *
   * @param intervalMillis the time between two reports of an upstream, in milliseconds
   * @param isWhole whether these are all reports that were ever written
   */
  public VersionsSeen versionsSeen(long intervalMillis, boolean isWhole) {
    long covered =
        isWhole
            ? VersionsSeen.ALWAYS
            : intervalMillis * numbers.values().stream().mapToLong(Numbers::count).max().orElse(0);
    return new VersionsSeen(ImmutableSet.copyOf(origins), covered);
  }
}
