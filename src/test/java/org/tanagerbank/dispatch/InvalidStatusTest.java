package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/** Guards against answers with a status that HTTP does not have and that reach the caller. */
final class InvalidStatusTest {
  private final AtomicInteger arrivals = new AtomicInteger();
  private final DispatchSimulation fleet = new DispatchSimulation(1, 2, false);

  /** Sends a request whose first response has an odd status, and returns its end. */
  private Call call(String path, String status) {
    String response =
        "HTTP/1.1 "
            + status
            + " X\r\nServer-Stamp: s\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx";
    UpstreamBehavior odd =
        new UpstreamBehavior(true, false, ImmutableList.of(new Write(1, response)));
    fleet
        .upstreams()
        .forEach(
            u ->
                u.setScript(id -> arrivals.getAndIncrement() == 0 ? odd : UpstreamBehavior.NORMAL));
    Call call = fleet.sendWithId(0, path, "body", "r1");
    fleet.advance(1_000);
    return call;
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "600", "999"})
  void isNotPassedOn(String status) {
    assertThat(call("/once/x", status).status).isEqualTo(502);
    arrivals.set(0);
    assertThat(call("/stream/x", status).status).isEqualTo(502);
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "600"})
  void repeatableRequestIsSentAgain(String status) {
    Call call = call("/safe/x", status);
    assertThat(call.status).isEqualTo(200);
    assertThat(call.text()).isEqualTo("ok");
  }
}
