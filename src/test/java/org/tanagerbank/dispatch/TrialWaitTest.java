package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/**
 * Guards against a response that is cut off at the time limit, because its request waited for its
 * trial and was begun with almost no time left.
 */
final class TrialWaitTest {
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private final DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
  private final SimulatedUpstream upstream = fleet.upstreams().get(0);

  /** Ends the upstream twice with the same stream in flight, so that it runs only on trial. */
  private void makeSuspect() {
    for (int i = 0; i < 2; i++) {
      fleet.send(0, "/stream/x", "same");
      fleet.advance(5);
      upstream.crash(fleet.nowMillis());
      fleet.advance(SimulatedUpstream.RESTART_MILLIS + 2_000);
    }
  }

  /** Lets streams last for a time: the first event comes at once, the end at the end. */
  private void setStreamMillis(long millis) {
    upstream.setScript(
        id ->
            new UpstreamBehavior(
                true,
                false,
                ImmutableList.of(
                    new Write(
                        1,
                        "HTTP/1.1 200 OK\r\nRequest-Id: "
                            + id
                            + "\r\nServer-Stamp: s\r\nContent-Length: "
                            + 2 * EVENT.length()
                            + "\r\n\r\n"
                            + EVENT),
                    new Write(millis, EVENT.replace('1', '2')))));
  }

  @Test
  void requestIsRefusedOnceTooLittleTimeIsLeftToRunIt() {
    makeSuspect();
    setStreamMillis(DispatchSimulation.ROUTE_TIMEOUT_MILLIS - 400);
    Call onTrial = fleet.send(0, "/stream/x", "same");
    Call waiting = fleet.send(0, "/stream/x", "same");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 10);
    assertThat(onTrial.status).isEqualTo(200);
    assertThat(waiting.status).isEqualTo(503);
    assertThat(fleet.runs().stream().map(r -> r.requestId())).doesNotContain(waiting.id);
  }

  @Test
  void requestRunsAfterItsWaitIfThereIsTime() {
    makeSuspect();
    setStreamMillis(1_000);
    fleet.send(0, "/stream/x", "same");
    Call waiting = fleet.send(0, "/stream/x", "same");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 10);
    assertThat(waiting.status).isEqualTo(200);
    assertThat(waiting.eventFields("id")).containsExactly("1", "2").inOrder();
  }
}
