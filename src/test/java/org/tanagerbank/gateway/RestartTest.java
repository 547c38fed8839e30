package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a restarted gateway that lets engines read again what others keep. */
final class RestartTest {
  private static final int SESSIONS = 8;

  /** An engine that keeps the sessions with a remainder, and tells so when asked. */
  private static String engine(String request, int remainder) {
    if (!request.startsWith("GET /-/kv-list")) {
      return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
          + ScriptedUpstream.requestId(request)
          + "\r\nContent-Length: 1\r\n\r\n"
          + remainder;
    }
    String held =
        IntStream.range(0, SESSIONS)
            .filter(s -> s % 2 == remainder)
            .mapToObj(s -> "[\"\",\"a" + s + "\",5000,\"m\"]")
            .collect(Collectors.joining(","));
    String body = "{\"epoch\":1,\"next\":1,\"held\":[" + held + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** All instances restarted at once: nobody can tell what the engines keep but they themselves. */
  @Test
  void firstRequestsReachTheEnginesThatKeepTheirSessions() throws Exception {
    try (GatewayFixture fixture =
        new GatewayFixture(r -> engine(r, 0), r -> engine(r, 1), /* firstStart= */ false)) {
      for (int session = 0; session < SESSIONS; session++) {
        String prompt =
            "Model: m\r\nToken-Counts: 5100,10\r\nPrompt-Prefix: a" + session + ":5000,b:100\r\n";
        String answer =
            fixture.send(
                GatewayFixture.request(
                    "GET", "/safe/x", "r" + session, prompt + "Connection: close\r\n"));
        assertThat(answer).endsWith("\r\n\r\n" + session % 2);
      }
      assertThat(fixture.arrivals().stream().filter(r -> r.contains("kv-list"))).hasSize(2);
    }
  }
}
