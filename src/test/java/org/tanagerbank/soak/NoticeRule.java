package org.tanagerbank.soak;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/**
 * Checks that gateways leave engines alone that have asked them for a pause or have told them that
 * they leave, from what engines recorded. Immutable and thread-safe.
 */
record NoticeRule(Interruptions interruptions) {
  private static final long MICROS_PER_MILLI = 1_000;

  /** The time after the start of a pause in which requests may still arrive. */
  private static final long PAUSE_GRACE_MICROS = 500_000;

  /** The number of requests that may arrive in a pause. */
  private static final int MAX_ARRIVALS_IN_PAUSE = 2;

  /** The time in which callers may still send requests that reach an engine that leaves. */
  private static final long DRAIN_MICROS = 2_000_000;

  private static final int MISDIRECTED_REQUEST = 421;

  /** What passed between one engine and one gateway, in the order of the times. */
  private record Pair(
      String engine, int gateway, List<RunRecord> events, Map<String, Long> sentAtMicros) {
    Stream<RunRecord> arrivals(long afterMicros, long beforeMicros) {
      return events.stream()
          .filter(e -> e.event() == RunEvent.ARRIVED)
          .filter(e -> e.atMicros() > afterMicros && e.atMicros() < beforeMicros);
    }

    /** Returns whether the caller sent the request after a time; links may delay its arrival. */
    boolean isSentAfter(RunRecord arrival, long micros) {
      return sentAtMicros.get(arrival.request()) > micros;
    }
  }

  List<Violation> check(List<ObservedRequest> requests, List<RunRecord> events) {
    Map<String, Integer> gateways =
        requests.stream()
            .collect(Collectors.toMap(ObservedRequest::id, ObservedRequest::gateway, (a, b) -> a));
    Map<String, Long> sentAtMicros =
        requests.stream()
            .collect(
                Collectors.toMap(ObservedRequest::id, ObservedRequest::sentAtMicros, (a, b) -> a));
    Map<String, Map<Integer, List<RunRecord>>> byPair =
        events.stream()
            .filter(e -> gateways.containsKey(e.request()))
            .collect(
                Collectors.groupingBy(
                    RunRecord::engine, Collectors.groupingBy(e -> gateways.get(e.request()))));
    return byPair.entrySet().stream()
        .flatMap(
            engine ->
                engine.getValue().entrySet().stream()
                    .map(g -> new Pair(engine.getKey(), g.getKey(), g.getValue(), sentAtMicros)))
        .flatMap(p -> Stream.concat(inPauses(p), afterLeaving(p)))
        .toList();
  }

  private Stream<Violation> inPauses(Pair pair) {
    return pair.events().stream()
        .filter(e -> e.pauseMillis() != null)
        .flatMap(
            refusal -> {
              long from = refusal.atMicros();
              long until = from + refusal.pauseMillis() * MICROS_PER_MILLI;
              List<RunRecord> arrivals =
                  pair.arrivals(from + PAUSE_GRACE_MICROS, until)
                      .filter(a -> isUndisturbed(pair, from, a.atMicros()))
                      .toList();
              return arrivals.size() > MAX_ARRIVALS_IN_PAUSE
                  ? Stream.of(violation(Rule.PAUSE, pair, refusal, arrivals))
                  : Stream.empty();
            });
  }

  private Stream<Violation> afterLeaving(Pair pair) {
    return pair.events().stream()
        .filter(e -> e.leaving() != null && e.leaving() && canBeHeard(e))
        .limit(1)
        .flatMap(
            told -> {
              List<RunRecord> arrivals =
                  pair.arrivals(told.atMicros() + DRAIN_MICROS, Long.MAX_VALUE)
                      .filter(a -> pair.isSentAfter(a, told.atMicros() + DRAIN_MICROS))
                      .filter(a -> isUndisturbed(pair, told.atMicros(), a.atMicros()))
                      .toList();
              return arrivals.isEmpty()
                  ? Stream.empty()
                  : Stream.of(violation(Rule.LEAVING, pair, told, arrivals));
            });
  }

  /**
   * Returns whether a gateway can hear and believe a response: it was not cut on its way, and it
   * does not say that another process wrote it.
   */
  private static boolean canBeHeard(RunRecord response) {
    boolean isCut = response.complete() != null && !response.complete();
    boolean isMisdirected = response.status() != null && response.status() == MISDIRECTED_REQUEST;
    return !isCut && !isMisdirected;
  }

  /** Returns whether neither the gateway was interrupted nor the engine cut off in an interval. */
  private boolean isUndisturbed(Pair pair, long fromMicros, long toMicros) {
    return interruptions.gateways().get(pair.gateway()).stream()
            .noneMatch(s -> s.overlaps(fromMicros, toMicros))
        && !interruptions.wasEngineCutOff(pair.engine(), fromMicros, toMicros);
  }

  private static Violation violation(
      Rule rule, Pair pair, RunRecord told, List<RunRecord> arrivals) {
    String ids =
        arrivals.stream()
            .map(a -> a.request() + " at " + a.atMicros())
            .collect(Collectors.joining(", "));
    return new Violation(
        rule,
        "engine "
            + pair.engine()
            + " told gateway "
            + pair.gateway()
            + ": "
            + told
            + ", then "
            + ids);
  }
}
