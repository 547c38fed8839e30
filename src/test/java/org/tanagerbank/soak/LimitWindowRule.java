package org.tanagerbank.soak;

import static java.util.stream.Collectors.groupingBy;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.tanagerbank.soak.Interruptions.Span;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/**
 * Checks that engines that name a limit from their start on get no more requests than it allows,
 * from what engines recorded. Immutable and thread-safe.
 */
record LimitWindowRule(Interruptions interruptions) {
  private static final long WINDOW_MICROS = 4_000_000;

  /** The time from the first notice of a limit until it must be kept. */
  private static final long STABLE_MICROS = 3_000_000;

  /** The time after which a gateway must know what a response told it that it passed on. */
  private static final long TOLD_MICROS = 500_000;

  private static final double TOLERATED_MULTIPLE = 1.5;
  private static final double TOLERATED_REQUESTS = 5;
  private static final double MICROS_PER_SECOND = 1_000_000;

  /** The records of one engine, in the order of their times, and its requests by their ids. */
  private record Engine(
      String id,
      List<RunRecord> records,
      Map<String, ObservedRequest> requests,
      Interruptions interruptions) {
    /** Returns when the engine first named its limit. */
    OptionalLong namedAtMicros() {
      return named().mapToLong(RunRecord::atMicros).min();
    }

    private Stream<RunRecord> named() {
      return records.stream().filter(r -> r.limit() != null);
    }

    double allowed() {
      double limit = named().mapToDouble(RunRecord::limit).max().orElseThrow();
      return TOLERATED_MULTIPLE * limit * WINDOW_MICROS / MICROS_PER_SECOND + TOLERATED_REQUESTS;
    }

    /** Returns the times of the requests of gateways that know the limit and were not disturbed. */
    List<Long> countedArrivals() {
      long from = namedAtMicros().orElseThrow() + STABLE_MICROS;
      Map<Integer, List<Long>> told =
          named()
              .collect(
                  groupingBy(
                      this::gateway, Collectors.mapping(this::toldAtMicros, Collectors.toList())));
      return records.stream()
          .filter(r -> r.event() == RunEvent.ARRIVED && r.atMicros() > from)
          .filter(r -> isTold(told.getOrDefault(gateway(r), List.of()), r))
          .map(RunRecord::atMicros)
          .toList();
    }

    private int gateway(RunRecord r) {
      return requests.get(r.request()).gateway();
    }

    /** Returns when the gateway had certainly passed on a response. */
    private long toldAtMicros(RunRecord response) {
      return Math.max(response.atMicros(), requests.get(response.request()).endedAtMicros());
    }

    private boolean isTold(List<Long> toldAtMicros, RunRecord arrival) {
      long since =
          interruptions.gateways().get(gateway(arrival)).stream()
              .mapToLong(Span::toMicros)
              .filter(to -> to <= arrival.atMicros())
              .max()
              .orElse(0);
      return toldAtMicros.stream()
          .anyMatch(at -> at > since && at <= arrival.atMicros() - TOLD_MICROS);
    }
  }

  List<Violation> check(List<ObservedRequest> requests, List<RunRecord> events) {
    Map<String, ObservedRequest> byId =
        requests.stream().collect(Collectors.toMap(ObservedRequest::id, r -> r, (a, b) -> a));
    return events.stream()
        .filter(e -> byId.containsKey(e.request()))
        .collect(groupingBy(RunRecord::engine))
        .entrySet()
        .stream()
        .map(e -> new Engine(e.getKey(), e.getValue(), byId, interruptions))
        .filter(e -> e.namedAtMicros().isPresent())
        .flatMap(LimitWindowRule::violations)
        .toList();
  }

  private static Stream<Violation> violations(Engine engine) {
    List<Long> arrivals = engine.countedArrivals();
    double allowed = engine.allowed();
    int tooMany = (int) allowed + 1;
    // Each window with too many requests begins with one of them.
    return IntStream.range(0, Math.max(0, arrivals.size() - tooMany + 1))
        .filter(i -> arrivals.get(i + tooMany - 1) - arrivals.get(i) < WINDOW_MICROS)
        .mapToObj(
            i ->
                new Violation(
                    Rule.LIMIT,
                    "engine "
                        + engine.id()
                        + " got more than "
                        + allowed
                        + " requests in the 4 s from "
                        + arrivals.get(i)));
  }
}
