package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.soak.Interruptions.Span;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/** Guards against a soak that passes over requests which reach engines that pause or leave. */
final class NoticeRuleTest {
  private static final long START_MICROS = 1_000_000;

  private final List<ObservedRequest> requests = new ArrayList<>();
  private final List<RunRecord> events = new ArrayList<>();

  private void add(long atMicros, RunEvent event, Long pauseMillis, Boolean leaving) {
    String id = "r" + requests.size();
    requests.add(SoakSamples.request(id, atMicros));
    events.add(
        new RunRecord(
            atMicros,
            "e-1",
            event,
            id,
            null,
            null,
            null,
            null,
            null,
            pauseMillis,
            leaving,
            null,
            null));
  }

  private void addArrivals(int count, long firstMicros) {
    for (int i = 0; i < count; i++) {
      add(firstMicros + i, RunEvent.ARRIVED, null, null);
    }
  }

  private List<Rule> broken(Interruptions interruptions) {
    return new NoticeRule(interruptions)
        .check(requests, events).stream().map(Violation::rule).toList();
  }

  @Test
  void threeArrivalsInAPauseAreReported() {
    add(START_MICROS, RunEvent.REFUSED, 2_000L, null);
    addArrivals(3, START_MICROS + 600_000);
    assertThat(broken(Interruptions.none())).containsExactly(Rule.PAUSE);
  }

  @Test
  void arrivalsOnTheirWayAndAfterThePauseAreAllowed() {
    add(START_MICROS, RunEvent.REFUSED, 2_000L, null);
    addArrivals(5, START_MICROS + 400_000);
    addArrivals(2, START_MICROS + 700_000);
    addArrivals(5, START_MICROS + 2_000_000);
    assertThat(broken(Interruptions.none())).isEmpty();
  }

  @Test
  void arrivalsLongAfterAnEngineSaidThatItLeavesAreReported() {
    add(START_MICROS, RunEvent.ENDED, null, true);
    addArrivals(1, START_MICROS + 2_100_000);
    assertThat(broken(Interruptions.none())).containsExactly(Rule.LEAVING);
  }

  @Test
  void requestSentBeforeAnEngineSaidThatItLeavesMayBeDelayedOnItsWay() {
    add(START_MICROS, RunEvent.ENDED, null, true);
    requests.add(SoakSamples.request("delayed", START_MICROS - 1));
    events.add(SoakSamples.event(START_MICROS + 2_100_000, "e-1", RunEvent.ARRIVED, "delayed"));
    assertThat(broken(Interruptions.none())).isEmpty();
  }

  @Test
  void responsesThatAreCutOrDisownedTellNothing() {
    requests.add(SoakSamples.request("cut", START_MICROS));
    events.add(
        new RunRecord(
            START_MICROS,
            "e-1",
            RunEvent.ENDED,
            "cut",
            200,
            false,
            null,
            null,
            null,
            null,
            true,
            null,
            null));
    requests.add(SoakSamples.request("disowned", START_MICROS));
    events.add(
        new RunRecord(
            START_MICROS,
            "e-1",
            RunEvent.REFUSED,
            "disowned",
            421,
            null,
            null,
            null,
            null,
            null,
            true,
            null,
            null));
    addArrivals(1, START_MICROS + 2_100_000);
    assertThat(broken(Interruptions.none())).isEmpty();
  }

  @Test
  void restartedGatewayKnowsNothingOfPauses() {
    add(START_MICROS, RunEvent.REFUSED, 2_000L, null);
    addArrivals(3, START_MICROS + 600_000);
    Interruptions restarted =
        new Interruptions(
            ImmutableListMultimap.of(0, new Span(START_MICROS + 100, START_MICROS + 200)),
            ImmutableList.of(),
            ImmutableListMultimap.of());
    assertThat(broken(restarted)).isEmpty();
  }
}
