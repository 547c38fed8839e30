package org.tanagerbank.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.tanagerbank.request.Verdict;

/**
 * Guards against an order of faults that breaks a guarantee to callers: a whole answer comes from
 * one run, a request reported as NOT_RUN never runs, and a non-idempotent request runs at most
 * once. Such an order arises when links break, frames are delayed, engines crash or sidecars
 * restart.
 */
final class RequestFlowProperties {
  @Property(tries = 4_000, seed = "61")
  void guaranteesHoldUnderFaults(@ForAll long seed) {
    RequestFlowSimulation simulation = new RequestFlowSimulation(seed);
    simulation.run();
    assertWithMessage("the request ends").that(simulation.isDone()).isTrue();
    Statistics.label("ending").collect(simulation.ending());
    assertThat(simulation.responses).isAtMost(1);
    if (simulation.request.nonIdempotent()) {
      assertThat(simulation.runs.size()).isAtMost(1);
    }
    if (simulation.error.isPresent() && simulation.error.get().verdict() == Verdict.NOT_RUN) {
      assertWithMessage("runs after NOT_RUN").that(simulation.runs).isEmpty();
    }
    boolean isAnswerOfOneRun =
        simulation.runs.stream()
            .anyMatch(r -> isAnswer(r.answer, simulation.delivered, simulation.whole));
    assertWithMessage("answer of one run")
        .that(isAnswerOfOneRun || simulation.delivered.isEmpty())
        .isTrue();
    assertThat(simulation.router.inFlight).isEqualTo(0);
  }

  private static boolean isAnswer(byte[] answer, ByteString delivered, boolean whole) {
    ByteString expected = ByteString.copyFrom(answer);
    return whole ? expected.equals(delivered) : expected.startsWith(delivered);
  }
}
