package org.tanagerbank.dispatch;

import java.util.List;
import java.util.stream.Stream;
import org.tanagerbank.dispatch.UpstreamTraffic.Arrival;
import org.tanagerbank.dispatch.UpstreamTraffic.Notice;

/**
 * Finds the requests that reached upstreams although these had told the gateway that they pause or
 * leave, from what upstreams saw. Stateless and thread-safe.
 */
final class NoticeRules {
  /** The time after the start of a pause in which requests may still arrive, in milliseconds. */
  private static final long PAUSE_GRACE_MILLIS = 500;

  /** The time in which requests may still arrive at an upstream that leaves, in milliseconds. */
  private static final long DRAIN_MILLIS = 2_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private NoticeRules() {}

  /** Returns the requests that arrived within a pause. */
  static List<Arrival> inPauses(SimulatedUpstream upstream) {
    return upstream.traffic().arrivals().stream()
        .filter(a -> told(upstream, a).anyMatch(t -> isInPause(t, a)))
        .toList();
  }

  /** Returns the requests that arrived at an upstream that had long said that it leaves. */
  static List<Arrival> afterLeaving(SimulatedUpstream upstream) {
    return upstream.traffic().arrivals().stream()
        .filter(a -> told(upstream, a).anyMatch(t -> isAfterLeaving(t, a)))
        .toList();
  }

  /**
   * Returns what the process at which a request arrived had told its gateway. A gateway that was
   * interrupted since then need not know it.
   */
  private static Stream<Notice> told(SimulatedUpstream upstream, Arrival arrival) {
    return upstream.traffic().notices().stream()
        .filter(t -> t.process().equals(arrival.process()) && t.gateway() == arrival.gateway())
        .filter(t -> arrival.gatewaySinceMillis() <= t.atMillis());
  }

  private static boolean isInPause(Notice told, Arrival arrival) {
    String seconds = RawHead.header(told.head(), "retry-after", "");
    if (!told.head().startsWith("HTTP/1.1 503") || seconds.isEmpty()) {
      return false;
    }
    double end = told.atMillis() + Double.parseDouble(seconds) * MILLIS_PER_SECOND;
    return arrival.atMillis() > told.atMillis() + PAUSE_GRACE_MILLIS && arrival.atMillis() < end;
  }

  private static boolean isAfterLeaving(Notice told, Arrival arrival) {
    return RawHead.header(told.head(), "server-leaving", "").equals("1")
        && arrival.atMillis() > told.atMillis() + DRAIN_MILLIS;
  }
}
