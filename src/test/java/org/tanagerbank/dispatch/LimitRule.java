package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import com.google.common.primitives.Doubles;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.tanagerbank.dispatch.UpstreamTraffic.Arrival;
import org.tanagerbank.dispatch.UpstreamTraffic.Notice;

/**
 * Finds the windows in which an upstream got many more requests than the limit that it had named,
 * from what upstreams saw. Stateless and thread-safe.
 */
final class LimitRule {
  private static final long WINDOW_MILLIS = 4_000;

  /** The time from the first notice of a limit until it must be kept. */
  private static final long STABLE_MILLIS = 3_000;

  /** The time after which a gateway must know what a response told it. */
  private static final long TOLD_MILLIS = 500;

  private static final double TOLERATED_MULTIPLE = 1.5;
  private static final double TOLERATED_REQUESTS = 5;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A window that ends with a request. */
  record Breach(long endMillis, String process, long arrivals, double allowed) {}

  private LimitRule() {}

  static List<Breach> breaches(DispatchSimulation fleet) {
    return fleet.upstreams().stream().flatMap(LimitRule::breaches).toList();
  }

  private static Stream<Breach> breaches(SimulatedUpstream upstream) {
    ImmutableListMultimap<String, Arrival> byProcess =
        Multimaps.index(upstream.traffic().arrivals(), Arrival::process);
    return byProcess.keySet().stream()
        .flatMap(p -> breaches(p, byProcess.get(p), named(upstream, p)));
  }

  private static Stream<Breach> breaches(
      String process, List<Arrival> arrivals, List<Notice> named) {
    if (named.isEmpty()) {
      return Stream.empty();
    }
    long boundFrom = named.get(0).atMillis() + STABLE_MILLIS;
    ImmutableListMultimap<Integer, Notice> byGateway = Multimaps.index(named, Notice::gateway);
    List<Arrival> counted =
        arrivals.stream()
            .filter(a -> a.atMillis() > boundFrom && isTold(byGateway.get(a.gateway()), a))
            .toList();
    return IntStream.range(0, counted.size())
        .mapToObj(i -> window(process, counted, i, named))
        .filter(b -> b.arrivals() > b.allowed());
  }

  private static Breach window(
      String process, List<Arrival> counted, int last, List<Notice> named) {
    long end = counted.get(last).atMillis();
    int first = last;
    while (first > 0 && counted.get(first - 1).atMillis() > end - WINDOW_MILLIS) {
      first--;
    }
    double limit =
        named.stream()
            .filter(n -> n.atMillis() <= end && n.atMillis() >= end - WINDOW_MILLIS)
            .mapToDouble(LimitRule::limit)
            .max()
            .orElse(Double.POSITIVE_INFINITY);
    double allowed =
        TOLERATED_MULTIPLE * limit * WINDOW_MILLIS / MILLIS_PER_SECOND + TOLERATED_REQUESTS;
    return new Breach(end, process, last - first + 1, allowed);
  }

  /** Returns whether the gateway of a request had been told a limit long enough before. */
  private static boolean isTold(List<Notice> toGateway, Arrival arrival) {
    return toGateway.stream()
        .filter(n -> n.atMillis() >= arrival.gatewaySinceMillis())
        .findFirst()
        .filter(n -> n.atMillis() <= arrival.atMillis() - TOLD_MILLIS)
        .isPresent();
  }

  private static List<Notice> named(SimulatedUpstream upstream, String process) {
    return upstream.traffic().notices().stream()
        .filter(n -> n.process().equals(process) && limit(n) >= 0)
        .toList();
  }

  /** Returns the limit in requests a second, or a negative number if none is named. */
  private static double limit(Notice notice) {
    Double limit = Doubles.tryParse(RawHead.header(notice.head(), "server-limit", "-1"));
    return limit == null || limit.isNaN() ? -1 : limit;
  }
}
