package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.tanagerbank.upstream.UpstreamReport;

/** The reports of upstreams, which gateways usually read some time later. Not thread-safe. */
final class SimulatedReports {
  /** The time until gateways learn of an upstream that has started or is gone. */
  private static final long LAG_MILLIS = 800;

  private final List<SimulatedUpstream> upstreams;
  private ImmutableList<UpstreamReport> known;
  private ImmutableList<UpstreamReport> next;
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

  /** Lets time pass; {@code onKnown} runs when gateways read new reports. */
  void advance(long nowMillis, Runnable onKnown) {
    ImmutableList<UpstreamReport> current = current();
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
