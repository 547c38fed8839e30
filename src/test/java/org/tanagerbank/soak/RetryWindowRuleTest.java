package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/** Tests the budget of retries in windows. */
final class RetryWindowRuleTest {
  private static final long WINDOW = 10_000_000;
  private static final long START = 100_000_000;

  /** Allows a retry for each five requests, and two more. */
  private static final RetryWindowRule RULE = new RetryWindowRule(0.2, WINDOW, 2);

  private static List<ObservedRequest> requests(long atMicros, int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> SoakSamples.request("r" + atMicros + "-" + i, atMicros))
        .toList();
  }

  /** Returns the first arrival of a request, long before all windows, and its retries. */
  private static List<RunRecord> arrivals(String request, long... retriesAtMicros) {
    ImmutableList.Builder<RunRecord> events = ImmutableList.builder();
    events.add(SoakSamples.event(0, "e-1", RunEvent.ARRIVED, request));
    for (long at : retriesAtMicros) {
      events.add(SoakSamples.event(at, "e-1", RunEvent.ARRIVED, request));
    }
    return events.build();
  }

  /** Guards against a check that finds fault with a window that uses its whole budget. */
  @Test
  void allowsRatioAndSlack() {
    List<ObservedRequest> requests = requests(START, 5);
    String id = requests.get(0).id();
    assertThat(RULE.check(requests, arrivals(id, START + 1, START + 2, START + 3))).isEmpty();
  }

  /** Guards against a check that overlooks a single retry too many. */
  @Test
  void reportsOneRetryTooMany() {
    List<ObservedRequest> requests = requests(START, 5);
    String id = requests.get(0).id();
    List<RunRecord> events = arrivals(id, START + 1, START + 2, START + 3, START + 4);
    assertThat(RULE.check(requests, events)).hasSize(1);
  }

  /** Guards against counting in fixed buckets, which splits a burst at their border. */
  @Test
  void findsBurstAtAnyPosition() {
    List<ObservedRequest> requests = requests(0, 5);
    String id = requests.get(0).id();
    for (long shift = 0; shift < WINDOW; shift += WINDOW / 7) {
      long at = 5 * WINDOW + shift;
      assertThat(RULE.check(requests, arrivals(id, at, at + 1, at + WINDOW - 1))).hasSize(1);
      assertThat(RULE.check(requests, arrivals(id, at, at + 1, at + WINDOW))).isEmpty();
    }
  }

  /** Guards against a check that ignores the requests of the two earlier windows. */
  @Test
  void countsRequestsOfEarlierWindows() {
    List<ObservedRequest> requests = requests(START, 5);
    String id = requests.get(0).id();
    long next = START + WINDOW;
    assertThat(RULE.check(requests, arrivals(id, next, next + 1, next + 2))).isEmpty();
    long afterNext = START + 2 * WINDOW + 1;
    assertThat(RULE.check(requests, arrivals(id, afterNext, afterNext + 1, afterNext + 2)))
        .hasSize(1);
  }

  /** Guards against adding the requests of several windows, of which only one counts. */
  @Test
  void countsOnlyTheWindowWithMostRequests() {
    List<ObservedRequest> requests =
        Stream.of(requests(START, 5), requests(START + WINDOW, 5)).flatMap(List::stream).toList();
    String id = requests.get(0).id();
    long at = START + WINDOW + 1;
    assertThat(RULE.check(requests, arrivals(id, at, at, at, at))).hasSize(1);
  }

  /** Guards against requests of one service that pay for retries of another. */
  @Test
  void countsServicesApart() {
    List<ObservedRequest> engineRequests = requests(START, 50);
    ObservedRequest plain =
        SoakSamples.request(
            "plain", START, SoakRoute.IDEMPOTENT, SoakSamples.response("plain", 200, ""));
    List<ObservedRequest> requests =
        Stream.concat(engineRequests.stream(), Stream.of(plain)).toList();
    List<RunRecord> events = arrivals("plain", START, START, START);
    assertThat(RULE.check(requests, events)).hasSize(1);
    assertThat(RULE.check(requests, events).get(0).text()).startsWith("plain:");
  }
}
