package org.tanagerbank.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.tanagerbank.soak.EngineEvent.Kind;
import org.tanagerbank.soak.Violation.Rule;

/**
 * Checks the budget of retries of a service in every window of a length, wherever it begins.
 *
 * <p>In no window may the arrivals beyond the first of each request exceed the ratio times the
 * requests, plus the slack. The requests are those that callers sent in the window, in the one
 * before it, or in the one half a window before it, whichever has most. Immutable and thread-safe.
 */
record RetryWindowRule(double ratio, long windowMicros, double slack) {

  /** A window, with the retries and the requests that count in it. */
  private record Window(long beginMicros, int retries, int requests, double excess) {}

  /** Returns the window that exceeds the budget most, for each service that exceeds it. */
  List<Violation> check(List<ObservedRequest> requests, List<EngineEvent> events) {
    return requests.stream()
        .map(r -> r.route().service())
        .distinct()
        .sorted()
        .flatMap(s -> check(s, requests, events).stream())
        .toList();
  }

  private Optional<Violation> check(
      String service, List<ObservedRequest> requests, List<EngineEvent> events) {
    Map<String, ObservedRequest> requestsById =
        requests.stream()
            .filter(r -> r.route().service().equals(service))
            .collect(Collectors.toMap(ObservedRequest::id, Function.identity()));
    long[] sent =
        requestsById.values().stream()
            .filter(ObservedRequest::isSent)
            .mapToLong(ObservedRequest::sentAtMicros)
            .sorted()
            .toArray();
    long[] retries =
        events.stream()
            .filter(e -> e.kind() == Kind.ARRIVED && requestsById.containsKey(e.request()))
            .collect(Collectors.groupingBy(EngineEvent::request))
            .values()
            .stream()
            .flatMapToLong(a -> a.stream().mapToLong(EngineEvent::atMicros).sorted().skip(1))
            .sorted()
            .toArray();
    return worstWindow(sent, retries)
        .map(
            w ->
                new Violation(
                    Rule.RETRIES,
                    String.format(
                        "service %s: %d retries arrived in the window that begins at %d, with %d"
                            + " requests; allowed are %.1f",
                        service, w.retries(), w.beginMicros(), w.requests(), allowed(w))));
  }

  private double allowed(Window window) {
    return ratio * window.requests() + slack;
  }

  private Optional<Window> worstWindow(long[] sent, long[] retries) {
    // Both counts change only where a window begins one past an event or just includes it.
    LongStream ofRetries = Arrays.stream(retries).flatMap(t -> begins(t, 0));
    LongStream ofRequests =
        Arrays.stream(sent)
            .flatMap(
                t ->
                    LongStream.of(0, windowMicros, windowMicros / 2)
                        .flatMap(shift -> begins(t, shift)));
    return LongStream.concat(ofRetries, ofRequests)
        .mapToObj(begin -> window(begin, sent, retries))
        .filter(w -> w.excess() > 0)
        .max((a, b) -> Double.compare(a.excess(), b.excess()));
  }

  /** Returns the begins from which a window, moved back by a shift, first or no longer has t. */
  private LongStream begins(long t, long shift) {
    return LongStream.of(t + shift + 1, t + shift - windowMicros + 1);
  }

  private Window window(long begin, long[] sent, long[] retries) {
    int requests =
        Stream.of(begin, begin - windowMicros, begin - windowMicros / 2)
            .mapToInt(from -> count(sent, from))
            .max()
            .getAsInt();
    int retriesInWindow = count(retries, begin);
    return new Window(
        begin, retriesInWindow, requests, retriesInWindow - (ratio * requests + slack));
  }

  /** Returns how many of the sorted times are in the window that begins at a time. */
  private int count(long[] times, long begin) {
    return indexOfFirstFrom(times, begin + windowMicros) - indexOfFirstFrom(times, begin);
  }

  private static int indexOfFirstFrom(long[] times, long time) {
    int low = 0;
    int high = times.length;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (times[middle] < time) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
