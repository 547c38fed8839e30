package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.tanagerbank.gateway.GatewayFixture.request;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that a planned stop cuts off without an answer at the end of its grace
 * time.
 */
final class PlannedStopTest {
  /** Leaves a second of the grace time of the fixture. */
  private static final long MILLIS_SINCE_REQUEST = 7_000;

  private static final String BODY = "Content-Length: 4\r\n";
  private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

  private GatewayFixture fixture;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    fixture =
        new GatewayFixture(
            r ->
                r.contains("/stream/")
                    ? "HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nRequest-Id: r1\r\n"
                        + "Content-Length: 99\r\n\r\nid: 1\ndata: x\n\n"
                    : ScriptedUpstream.SILENCE);
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  /** Sends bytes, waits for a part of the response, drains the gateway and returns all of it. */
  private String responseAtStop(String bytes, String begun, int arrivals) throws Exception {
    try (Socket socket = fixture.connect()) {
      socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
      String response =
          begun.isEmpty() ? "" : GatewayFixture.readUntil(socket.getInputStream(), begun);
      while (fixture.arrivals().size() < arrivals) {
        Thread.yield();
      }
      fixture.gateway().drain(MILLIS_SINCE_REQUEST);
      return response + GatewayFixture.readToEnd(socket.getInputStream());
    }
  }

  @Test
  void requestThatMayHaveRunIsAnsweredSo() throws Exception {
    String response = responseAtStop(request("POST", "/once/x", "r1", BODY) + "body", "", 1);
    assertThat(response).startsWith("HTTP/1.1 502");
    assertThat(response).contains("the instance stopped before the response was complete");
  }

  @Test
  void streamThatHasBegunIsNotEndedAsComplete() throws Exception {
    String bytes = request("POST", "/stream/x", "r1", BODY) + "body";
    String response = responseAtStop(bytes, "data: x\n\n", 1);
    assertThat(response).endsWith(ScriptedUpstream.RESET);
  }

  @Test
  void requestThatHasNotArrivedWholeIsAnswered() throws Exception {
    String head = request("POST", "/once/x", "r1", BODY + "Expect: 100-continue\r\n");
    String response = responseAtStop(head + "bo", CONTINUE, 0);
    assertThat(response).startsWith(CONTINUE + "HTTP/1.1 503");
  }
}
