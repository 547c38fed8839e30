package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an idempotent request that waits until its time limit for a response that does not
 * come, although another upstream could run it.
 */
final class SkippedResponseTest {
  @ParameterizedTest
  @ValueSource(strings = {"Request-Id: other\r\n", "Request-Id: r1\r\nRequest-Id: other\r\n"})
  void idempotentRequestIsRetriedWhenItsOwnResponseDoesNotFollow(String ids) {
    String response = "HTTP/1.1 200 X\r\n" + ids + "Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
    AtomicInteger arrivals = new AtomicInteger();
    DispatchSimulation fleet = new DispatchSimulation(1, 2, true);
    fleet
        .upstreams()
        .forEach(
            u ->
                u.setScript(
                    id ->
                        arrivals.getAndIncrement() == 0
                            ? UpstreamBehavior.runsAndOnlySends(5, response)
                            : UpstreamBehavior.NORMAL));
    Call call = fleet.send(0, "/safe/x", "x");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 100);
    assertThat(call.status).isEqualTo(200);
  }
}
