package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Then;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/** Guards against callers that get a response whose head broke off, framed as a whole one. */
final class TruncatedHeadTest {
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n";

  /** Sends a request whose first response breaks off after some bytes, and returns its end. */
  private static Call call(String path, int length, Then end) {
    DispatchSimulation fleet = new DispatchSimulation(1, 3, false);
    AtomicInteger arrivals = new AtomicInteger();
    UpstreamBehavior broken =
        new UpstreamBehavior(
            true, false, ImmutableList.of(new Write(1, HEAD.substring(0, length), end)));
    fleet
        .upstreams()
        .forEach(
            u ->
                u.setScript(
                    id -> arrivals.getAndIncrement() == 0 ? broken : UpstreamBehavior.NORMAL));
    Call call = fleet.sendWithId(0, path, "body", "r1");
    fleet.advance(1_000);
    assertWithMessage("ended after %s bytes", length).that(call.isEnded).isTrue();
    return call;
  }

  @ParameterizedTest
  @CsvSource({"/once/x,CLOSE", "/once/x,RESET", "/stream/x,CLOSE", "/stream/x,RESET"})
  void isNoResponse(String path, Then end) {
    for (int i = 1; i < HEAD.length(); i++) {
      assertWithMessage("status after %s bytes", i).that(call(path, i, end).status).isEqualTo(502);
    }
  }

  @Test
  void repeatableRequestIsSentAgain() {
    for (int i = 1; i < HEAD.length(); i++) {
      Call call = call("/safe/x", i, Then.CLOSE);
      assertThat(call.status).isEqualTo(200);
      assertThat(call.text()).isEqualTo("ok");
    }
  }
}
