package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.stream.VersionsSeen;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The software versions that the upstreams of each service had lately. Decision logic without I/O;
 * not thread-safe, confined to one thread.
 */
final class VersionHistory {
  /**
   * Longer than a stream with the pauses of its caller and the time between two reports of an
   * upstream, in milliseconds. Shorter than the time for which a store keeps reports.
   */
  private static final long KEPT_MILLIS = 18_000;

  private final Map<StreamOrigin, Long> seenAtMillis = new HashMap<>();
  private long completeSinceMillis = Long.MAX_VALUE / 2;
  private long firstRecordedMillis = Long.MAX_VALUE / 2;
  private long missedAtMillis = Long.MIN_VALUE;

  /** Records the upstreams that exist now. */
  void record(Collection<UpstreamReport> reports, long nowMillis) {
    firstRecordedMillis = Math.min(firstRecordedMillis, nowMillis);
    completeSinceMillis = Math.min(completeSinceMillis, nowMillis);
    reports.forEach(r -> seenAtMillis.put(StreamOrigin.of(r), nowMillis));
    seenAtMillis.values().removeIf(seen -> nowMillis - seen > KEPT_MILLIS);
  }

  /** Records that some upstreams may have been missed until now. */
  void restart(long nowMillis) {
    completeSinceMillis = nowMillis;
    missedAtMillis = nowMillis;
  }

  /**
   * Records the versions that upstreams had before, as the store tells. It does not tell when they
   * had them, so they count as seen now.
   *
   * @param startedAtMillis the time at which the store was asked
   */
  void recordSeen(VersionsSeen seen, long startedAtMillis) {
    if (missedAtMillis > startedAtMillis) {
      return;
    }
    completeSinceMillis = Math.min(completeSinceMillis, startedAtMillis - seen.coveredMillis());
    seen.origins().forEach(o -> seenAtMillis.put(o, startedAtMillis));
  }

  /** Returns for how long upstreams have been recorded, in milliseconds. */
  long recordedMillis(long nowMillis) {
    return nowMillis - firstRecordedMillis;
  }

  /** Returns whether all versions of the last {@link #KEPT_MILLIS} are known. */
  boolean isComplete(long nowMillis) {
    return nowMillis - completeSinceMillis >= KEPT_MILLIS;
  }

  /** Returns the version of a service if there was only one for {@link #KEPT_MILLIS}. */
  Optional<StreamOrigin> soleVersion(String service, long nowMillis) {
    if (!isComplete(nowMillis)) {
      return Optional.empty();
    }
    ImmutableList<StreamOrigin> versions =
        seenAtMillis.keySet().stream()
            .filter(o -> o.service().equals(service))
            .collect(ImmutableList.toImmutableList());
    return versions.size() == 1 ? Optional.of(versions.get(0)) : Optional.empty();
  }
}
