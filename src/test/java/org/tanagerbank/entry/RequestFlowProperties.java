package org.tanagerbank.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.tanagerbank.contract.Verdict;

/**
 * Guards what a caller is promised against every order of faults: a whole answer is that of one
 * run, NOT_RUN is true for good, and a request that must not run twice does not.
 */
final class RequestFlowProperties {
  @Property(tries = 4_000, seed = "61")
  void promisesHold(@ForAll long seed) {
    FlowWorld world = new FlowWorld(seed);
    world.run();
    assertWithMessage("the request ends").that(world.isDone()).isTrue();
    Statistics.label("ending").collect(world.ending());
    assertThat(world.responses).isAtMost(1);
    if (world.request.nonIdempotent()) {
      assertThat(world.runs.size()).isAtMost(1);
    }
    if (world.error.isPresent() && world.error.get().verdict() == Verdict.NOT_RUN) {
      assertWithMessage("runs after NOT_RUN").that(world.runs).isEmpty();
    }
    boolean known =
        world.runs.stream().anyMatch(r -> isAnswer(r.answer, world.delivered, world.whole));
    assertWithMessage("answer of one run").that(known || world.delivered.isEmpty()).isTrue();
    assertThat(world.router.inFlight).isEqualTo(0);
  }

  private static boolean isAnswer(byte[] answer, ByteString delivered, boolean whole) {
    ByteString expected = ByteString.copyFrom(answer);
    return whole ? expected.equals(delivered) : expected.startsWith(delivered);
  }
}
