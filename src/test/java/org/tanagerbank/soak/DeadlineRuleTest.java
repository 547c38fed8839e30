package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.soak.EngineEvent.Kind;
import org.tanagerbank.soak.Interruptions.Span;

/** Tests the check of deadlines. */
final class DeadlineRuleTest {
  private static final long START = 100_000_000;
  private static final DeadlineRule RULE = new DeadlineRule(Interruptions.none());

  private static List<ObservedRequest> requests(int count) {
    return IntStream.range(0, count).mapToObj(i -> SoakSamples.request("r" + i, START)).toList();
  }

  private static List<EngineEvent> arrivals(
      List<ObservedRequest> requests, long delayMicros, OptionalLong deadlineMillis) {
    return requests.stream()
        .map(
            r ->
                SoakSamples.event(
                    r.sentAtMicros() + delayMicros, "e-1", Kind.ARRIVED, r.id(), 0, deadlineMillis))
        .toList();
  }

  private static List<EngineEvent> twice(List<ObservedRequest> requests, long laterDeadline) {
    return ImmutableList.<EngineEvent>builder()
        .addAll(arrivals(requests, 0, OptionalLong.of(4_000)))
        .addAll(arrivals(requests, 1_000_000, OptionalLong.of(laterDeadline)))
        .build();
  }

  /** Guards against a gateway that drops the deadline of requests. */
  @Test
  void reportsMissingDeadlinesOfMoreThanTwentyRequests() {
    List<ObservedRequest> requests = requests(21);
    assertThat(RULE.check(requests, arrivals(requests, 0, OptionalLong.empty()))).isPresent();
    List<ObservedRequest> fewer = requests(20);
    assertThat(RULE.check(fewer, arrivals(fewer, 0, OptionalLong.empty()))).isEmpty();
  }

  /** Guards against a gateway that gives upstreams more time than the caller has. */
  @Test
  void reportsDeadlinesOverHalfASecondLonger() {
    List<ObservedRequest> requests = requests(21);
    assertThat(RULE.check(requests, arrivals(requests, 0, OptionalLong.of(4_501)))).isPresent();
    assertThat(RULE.check(requests, arrivals(requests, 0, OptionalLong.of(4_500)))).isEmpty();
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
    List<EngineEvent> events =
        ImmutableList.<EngineEvent>builder()
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
    List<EngineEvent> early = arrivals(requests, 0, OptionalLong.empty());
    List<EngineEvent> late = arrivals(requests, 200_000, OptionalLong.empty());
    assertThat(new DeadlineRule(interruptions).check(requests, early)).isEmpty();
    assertThat(new DeadlineRule(interruptions).check(requests, late)).isPresent();
  }
}
