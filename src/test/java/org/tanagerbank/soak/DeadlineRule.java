package org.tanagerbank.soak;

import static java.util.stream.Collectors.groupingBy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/**
 * Checks that upstreams are not given more time than callers have left.
 *
 * <p>A request counts if a gateway in touch passed it on without a deadline, or with one more than
 * half a second longer than the caller's, or once more and over half a second later with one that
 * ends more than half a second after both the first and the caller's. The promise is broken by more
 * than twenty such requests if they are more than a fifth of themselves and all that were passed on
 * once more so late. Immutable and thread-safe.
 */
record DeadlineRule(Interruptions interruptions) {
  private static final long ALLOWED_EXCESS_MICROS = 500_000;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final int ALLOWED_REQUESTS = 20;
  private static final int ALLOWED_DIVISOR = 5;

  Optional<Violation> check(List<ObservedRequest> requests, List<RunRecord> events) {
    Map<String, List<RunRecord>> arrivals =
        events.stream()
            .filter(e -> e.event() == RunEvent.ARRIVED)
            .collect(groupingBy(RunRecord::request));
    Set<String> excessive = new TreeSet<>();
    Set<String> counted = new TreeSet<>();
    for (ObservedRequest request : requests) {
      List<RunRecord> arrived = arrivals.getOrDefault(request.id(), List.of());
      List<RunRecord> passedOn =
          arrived.stream()
              .filter(e -> interruptions.isInTouch(request.gateway(), e.atMicros()))
              .toList();
      if (passedOn.stream().anyMatch(e -> isExcessive(request, arrived.get(0), e))) {
        excessive.add(request.id());
      }
      if (passedOn.stream().anyMatch(e -> isLate(e, arrived.get(0)))) {
        counted.add(request.id());
      }
    }
    counted.addAll(excessive);
    boolean isBroken =
        excessive.size() > ALLOWED_REQUESTS && excessive.size() * ALLOWED_DIVISOR > counted.size();
    return isBroken
        ? Optional.of(
            new Violation(
                Rule.DEADLINE,
                excessive.size()
                    + " of "
                    + counted.size()
                    + " requests were passed on with too much time: "
                    + excessive.stream().limit(5).toList()))
        : Optional.empty();
  }

  /** Returns whether an arrival counts as sent once more, and late. */
  private boolean isLate(RunRecord event, RunRecord first) {
    // A request that a disturbed link held up does not count as late.
    long stableFrom = event.atMicros() - Interruptions.STABLE_MICROS;
    return event.atMicros() > first.atMicros() + ALLOWED_EXCESS_MICROS
        && !interruptions.wasEngineCutOff(event.engine(), stableFrom, event.atMicros());
  }

  private boolean isExcessive(ObservedRequest request, RunRecord first, RunRecord event) {
    return event.deadlineMillis() == null
        || micros(event) > request.deadlineMillis() * MICROS_PER_MILLI + ALLOWED_EXCESS_MICROS
        || (isLate(event, first) && endsTooLate(request, first, event));
  }

  private static boolean endsTooLate(ObservedRequest request, RunRecord first, RunRecord later) {
    long callerEnd = request.sentAtMicros() + request.deadlineMillis() * MICROS_PER_MILLI;
    long firstEnd = first.deadlineMillis() == null ? callerEnd : endMicros(first);
    return endMicros(later) > Math.max(callerEnd, firstEnd) + ALLOWED_EXCESS_MICROS;
  }

  private static long endMicros(RunRecord event) {
    return event.atMicros() + micros(event);
  }

  private static long micros(RunRecord event) {
    return event.deadlineMillis() * MICROS_PER_MILLI;
  }
}
