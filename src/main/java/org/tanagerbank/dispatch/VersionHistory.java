package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The software versions that the upstreams of each service had lately. Decision logic without I/O;
 * not thread-safe, confined to one thread.
 */
final class VersionHistory {
  /** Longer than a stream and the pause after which its caller takes it up, in milliseconds. */
  private static final long KEPT_MILLIS = 20_000;

  private final Map<StreamOrigin, Long> seenAtMillis = new HashMap<>();
  private long completeSinceMillis = Long.MAX_VALUE / 2;

  /** Records the upstreams that exist now. */
  void record(Collection<UpstreamReport> reports, long nowMillis) {
    completeSinceMillis = Math.min(completeSinceMillis, nowMillis);
    reports.forEach(r -> seenAtMillis.put(StreamOrigin.of(r), nowMillis));
    seenAtMillis.values().removeIf(seen -> nowMillis - seen > KEPT_MILLIS);
  }

  /** Records that some upstreams may have been missed until now. */
  void restart(long nowMillis) {
    completeSinceMillis = nowMillis;
  }

  /** Returns the version of a service if there was only one for {@link #KEPT_MILLIS}. */
  Optional<StreamOrigin> soleVersion(String service, long nowMillis) {
    if (nowMillis - completeSinceMillis < KEPT_MILLIS) {
      return Optional.empty();
    }
    ImmutableList<StreamOrigin> versions =
        seenAtMillis.keySet().stream()
            .filter(o -> o.service().equals(service))
            .collect(ImmutableList.toImmutableList());
    return versions.size() == 1 ? Optional.of(versions.get(0)) : Optional.empty();
  }
}
