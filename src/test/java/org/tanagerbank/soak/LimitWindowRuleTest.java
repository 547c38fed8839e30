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

/** Guards against a soak that passes over requests beyond the limits that engines name. */
final class LimitWindowRuleTest {
  private static final long START_MICROS = 1_000_000;
  private static final long BOUND_MICROS = START_MICROS + 3_000_000;

  private final List<ObservedRequest> requests = new ArrayList<>();
  private final List<RunRecord> events = new ArrayList<>();

  private void add(long atMicros, RunEvent event, Double limit) {
    String id = "r" + requests.size();
    requests.add(SoakSamples.request(id, atMicros));
    events.add(
        new RunRecord(
            atMicros, "e-1", event, id, null, null, null, null, null, null, null, limit, null));
  }

  private void addArrivals(int count, long firstMicros) {
    for (int i = 0; i < count; i++) {
      add(firstMicros + i, RunEvent.ARRIVED, null);
    }
  }

  private List<Rule> broken(Interruptions interruptions) {
    return new LimitWindowRule(interruptions)
        .check(requests, events).stream().map(Violation::rule).distinct().toList();
  }

  @Test
  void moreArrivalsThanAllowedAreReported() {
    add(START_MICROS, RunEvent.ENDED, 2.0);
    addArrivals(18, BOUND_MICROS + 1);
    assertThat(broken(Interruptions.none())).containsExactly(Rule.LIMIT);
  }

  @Test
  void allowedArrivalsAndEarlyOnesAreNotReported() {
    add(START_MICROS, RunEvent.ENDED, 2.0);
    addArrivals(100, START_MICROS + 1_000_000);
    addArrivals(17, BOUND_MICROS + 1);
    addArrivals(17, BOUND_MICROS + 5_000_000);
    assertThat(broken(Interruptions.none())).isEmpty();
  }

  @Test
  void gatewayIsToldWhenItPassesOnTheAnswer() {
    add(START_MICROS, RunEvent.ENDED, 2.0);
    Interruptions restarted =
        new Interruptions(
            ImmutableListMultimap.of(0, new Span(BOUND_MICROS, BOUND_MICROS + 10)),
            ImmutableList.of(),
            ImmutableListMultimap.of());
    add(BOUND_MICROS + 100_000, RunEvent.ENDED, 2.0);
    requests.set(1, SoakSamples.request("r1", BOUND_MICROS + 500_000));
    addArrivals(18, BOUND_MICROS + 900_000);
    assertThat(broken(restarted)).isEmpty();
    addArrivals(18, BOUND_MICROS + 1_100_000);
    assertThat(broken(restarted)).containsExactly(Rule.LIMIT);
  }

  @Test
  void arrivalsFromAnInterruptedGatewayAreAllowed() {
    add(START_MICROS, RunEvent.ENDED, 2.0);
    addArrivals(18, BOUND_MICROS + 1);
    Interruptions interrupted =
        new Interruptions(
            ImmutableListMultimap.of(
                SoakSamples.request("r", 1).gateway(),
                new Span(START_MICROS + 1, START_MICROS + 1_000)),
            ImmutableList.of(),
            ImmutableListMultimap.of());
    assertThat(broken(interrupted)).isEmpty();
  }
}
