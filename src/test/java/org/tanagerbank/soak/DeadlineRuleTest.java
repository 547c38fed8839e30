package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.soak.Interruptions.Span;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/** Tests the check of deadlines. */
final class DeadlineRuleTest {
  private static final long START = 100_000_000;
  private static final DeadlineRule RULE = new DeadlineRule(Interruptions.none());

  private static List<ObservedRequest> requests(int count) {
    return IntStream.range(0, count).mapToObj(i -> SoakSamples.request("r" + i, START)).toList();
  }

  private static List<RunRecord> arrivals(
      List<ObservedRequest> requests, long delayMicros, Long deadlineMillis) {
    return requests.stream()
        .map(
            r ->
                SoakSamples.event(
                    r.sentAtMicros() + delayMicros,
                    "e-1",
                    RunEvent.ARRIVED,
                    r.id(),
                    deadlineMillis))
        .toList();
  }

  private static List<RunRecord> twice(List<ObservedRequest> requests, long laterDeadline) {
    return ImmutableList.<RunRecord>builder()
        .addAll(arrivals(requests, 0, 4_000L))
        .addAll(arrivals(requests, 1_000_000, laterDeadline))
        .build();
  }

  /** Guards against a gateway that drops the deadline of requests. */
  @Test
  void reportsMissingDeadlinesOfMoreThanTwentyRequests() {
    List<ObservedRequest> requests = requests(21);
    assertThat(RULE.check(requests, arrivals(requests, 0, null))).isPresent();
    List<ObservedRequest> fewer = requests(20);
    assertThat(RULE.check(fewer, arrivals(fewer, 0, null))).isEmpty();
  }

  /** Guards against a gateway that gives upstreams more time than the caller has. */
  @Test
  void reportsDeadlinesOverHalfASecondLonger() {
    List<ObservedRequest> requests = requests(21);
    assertThat(RULE.check(requests, arrivals(requests, 0, 4_501L))).isPresent();
    assertThat(RULE.check(requests, arrivals(requests, 0, 4_500L))).isEmpty();
  }

  /** Guards against a gateway that sends a request once more with the whole time of the caller. */
  @Test
  void reportsLateRepeatsThatEndAfterTheFirst() {
    List<ObservedRequest> requests = requests(21);
    assertThat(RULE.check(requests, twice(requests, 3_501))).isPresent();
    assertThat(RULE.check(requests, twice(requests, 3_500))).isEmpty();
  }

  /** Guards against a check that finds fault where less than a fifth of late repeats are bad. */
  @Test
  void allowsAFifthOfLateRepeats() {
    List<ObservedRequest> bad = requests(21);
    List<ObservedRequest> all = requests(106);
    List<RunRecord> events =
        ImmutableList.<RunRecord>builder()
            .addAll(twice(bad, 4_000))
            .addAll(twice(all.subList(bad.size(), all.size()), 3_000))
            .build();
    assertThat(RULE.check(all, events)).isEmpty();
    assertThat(RULE.check(all.subList(0, 100), events)).isPresent();
  }

  /** Guards against blaming a gateway that was resumed or started just before. */
  @Test
  void countsOnlyGatewaysInTouch() {
    Span span = new Span(START - Interruptions.STABLE_MICROS, START - 2_900_000);
    Interruptions interruptions =
        new Interruptions(
            ImmutableListMultimap.of(0, span), ImmutableList.of(), ImmutableListMultimap.of());
    List<ObservedRequest> requests = requests(21);
    List<RunRecord> early = arrivals(requests, 0, null);
    List<RunRecord> late = arrivals(requests, 200_000, null);
    assertThat(new DeadlineRule(interruptions).check(requests, early)).isEmpty();
    assertThat(new DeadlineRule(interruptions).check(requests, late)).isPresent();
  }
}
