package org.tanagerbank.soak;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/**
 * Checks the budget of retries of a service in every window of a length, wherever it begins.
 *
 * <p>In no window may the arrivals beyond the first of each request exceed the ratio times the
 * requests, plus the slack. The requests are those that callers sent in the window, in the one
 * before it, or in the one half a window before it, whichever has most. Immutable and thread-safe.
 */
record RetryWindowRule(double ratio, long windowMicros, double slack) {

  /**
   * The window in which a service uses the greatest part of the budget.
   *
   * @param retries the arrivals beyond the first of each request
   * @param requests the requests that count for the window
   */
  record Window(String service, long beginMicros, int retries, int requests, double allowed) {
    /** Returns the part of the allowed retries that were used. */
    double usage() {
      return retries / allowed;
    }

    @Override
    public String toString() {
      return String.format(
          "%s: %d retries in the window from %d, allowed %.1f",
          service, retries, beginMicros, allowed);
    }
  }

  /** Returns a violation for each service that exceeds the budget. */
  List<Violation> check(List<ObservedRequest> requests, List<RunRecord> events) {
    return worstWindows(requests, events).stream()
        .filter(w -> w.usage() > 1)
        .map(w -> new Violation(Rule.RETRIES, w.toString()))
        .toList();
  }

  /** Returns the worst window of each service that got a request. */
  List<Window> worstWindows(List<ObservedRequest> requests, List<RunRecord> events) {
    return requests.stream()
        .map(r -> r.route().service())
        .distinct()
        .sorted()
        .flatMap(s -> worstWindow(s, requests, events).stream())
        .toList();
  }

  private Optional<Window> worstWindow(
      String service, List<ObservedRequest> requests, List<RunRecord> events) {
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
            .filter(e -> e.event() == RunEvent.ARRIVED && requestsById.containsKey(e.request()))
            .collect(Collectors.groupingBy(RunRecord::request))
            .values()
            .stream()
            .flatMapToLong(a -> a.stream().mapToLong(RunRecord::atMicros).sorted().skip(1))
            .sorted()
            .toArray();
    return begins(sent, retries)
        .mapToObj(begin -> window(service, begin, sent, retries))
        .max(Comparator.comparingDouble(Window::usage));
  }

  /** Returns all begins of windows from which one of the counts can differ. */
  private LongStream begins(long[] sent, long[] retries) {
    LongStream ofRetries = Arrays.stream(retries).flatMap(t -> begins(t, 0));
    LongStream ofRequests =
        Arrays.stream(sent)
            .flatMap(
                t ->
                    LongStream.of(0, windowMicros, windowMicros / 2)
                        .flatMap(shift -> begins(t, shift)));
    return LongStream.concat(ofRetries, ofRequests);
  }

  /** Returns the begins from which a window, moved back by a shift, first or no longer has t. */
  private LongStream begins(long t, long shift) {
    return LongStream.of(t + shift + 1, t + shift - windowMicros + 1);
  }

  private Window window(String service, long begin, long[] sent, long[] retries) {
    int requests =
        Stream.of(begin, begin - windowMicros, begin - windowMicros / 2)
            .mapToInt(from -> count(sent, from))
            .max()
            .getAsInt();
    return new Window(service, begin, count(retries, begin), requests, ratio * requests + slack);
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
