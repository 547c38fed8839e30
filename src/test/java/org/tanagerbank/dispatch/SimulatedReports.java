package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.stream.VersionsSeen;
import org.tanagerbank.upstream.UpstreamReport;

/** The reports of upstreams, which gateways usually read some time later. Not thread-safe. */
final class SimulatedReports {
  /** The time until gateways learn of an upstream that has started or is gone. */
  static final long LAG_MILLIS = 800;

  private final List<SimulatedUpstream> upstreams;
  private ImmutableList<UpstreamReport> known;
  private ImmutableList<UpstreamReport> next;

  /** The time at which an upstream of each version was last up. */
  private final Map<StreamOrigin, Long> lastUpMillis = new HashMap<>();

  private long historyMillis;
  private long nextKnownAtMillis = Long.MAX_VALUE;

  SimulatedReports(List<SimulatedUpstream> upstreams) {
    this.upstreams = upstreams;
    known = current();
    next = known;
  }

  /** Returns the reports that gateways have usually read. */
  ImmutableList<UpstreamReport> known() {
    return known;
  }

  /** Returns the reports of all upstreams that are up. */
  ImmutableList<UpstreamReport> current() {
    return upstreams.stream()
        .filter(SimulatedUpstream::isUp)
        .map(SimulatedUpstream::report)
        .collect(ImmutableList.toImmutableList());
  }

  /** Sets the time for which the store keeps reports; it keeps none at first. */
  void setHistoryMillis(long millis) {
    historyMillis = millis;
  }

  /** Returns the versions in the reports that the store has. */
  VersionsSeen versionsSeen(long nowMillis) {
    return new VersionsSeen(
        lastUpMillis.keySet().stream()
            .filter(o -> nowMillis - lastUpMillis.get(o) <= historyMillis)
            .collect(ImmutableSet.toImmutableSet()),
        historyMillis);
  }

  /** Lets time pass; {@code onKnown} runs when gateways read new reports. */
  void advance(long nowMillis, Runnable onKnown) {
    ImmutableList<UpstreamReport> current = current();
    current.forEach(r -> lastUpMillis.put(StreamOrigin.of(r), nowMillis));
    if (!current.equals(next)) {
      next = current;
      nextKnownAtMillis = nowMillis + LAG_MILLIS;
    }
    if (nowMillis >= nextKnownAtMillis) {
      nextKnownAtMillis = Long.MAX_VALUE;
      known = next;
      onKnown.run();
    }
  }
}
