package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a restarted gateway that sends sessions to engines that have not cached their
 * prompts, which then have to read prompts again that other engines have cached.
 */
final class RestartCacheRecoveryTest {
  private static final int SESSIONS = 8;

  /**
   * Answers as an engine that caches the sessions whose number modulo 2 is {@code remainder}, and
   * that lists them when queried.
   */
  private static String respondAsEngine(String request, int remainder) {
    if (!request.startsWith("GET /-/kv-list")) {
      return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
          + ScriptedUpstream.requestId(request)
          + "\r\nContent-Length: 1\r\n\r\n"
          + remainder;
    }
    String cachedParts =
        IntStream.range(0, SESSIONS)
            .filter(s -> s % 2 == remainder)
            .mapToObj(s -> "[\"\",\"a" + s + "\",5000,\"m\"]")
            .collect(Collectors.joining(","));
    String body = "{\"epoch\":1,\"next\":1,\"held\":[" + cachedParts + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** All instances restarted at once, so that only the engines can report what they cache. */
  @Test
  void firstRequestsReachTheEnginesThatCacheTheirSessions() throws Exception {
    try (GatewayFixture fixture =
        new GatewayFixture(
            r -> respondAsEngine(r, 0), r -> respondAsEngine(r, 1), /* isFirstStart= */ false)) {
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
