package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.tanagerbank.gateway.GatewayFixture.request;
import static org.tanagerbank.gateway.ScriptedUpstream.REPEAT;
import static org.tanagerbank.gateway.ScriptedUpstream.RESET;
import static org.tanagerbank.gateway.ScriptedUpstream.requestId;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Sends a gateway refusals and extra responses of scripted upstreams.
 *
 * <p>Guards against a request that is answered "not run" although it ran, runs or will run.
 */
@Timeout(120)
final class GatewayRefusalTest {
  private static String once(String id) {
    return request("POST", "/once/x", id, "Connection: close\r\nContent-Length: 0\r\n");
  }

  private static String refusal(String id) {
    return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\nRequest-Id: "
        + id
        + "\r\n\r\n";
  }

  /** Without the counter, a refusal under another id cannot be told from a true one. */
  @Test
  void failedAttemptsAreCountedByWhatTheResponseSaid() throws Exception {
    AtomicInteger arrivals = new AtomicInteger();
    Function<String, String> script =
        r -> arrivals.getAndIncrement() == 0 ? refusal(requestId(r)) : RESET;
    try (GatewayFixture fixture = new GatewayFixture(script)) {
      assertThat(fixture.send(once("r1"))).startsWith("HTTP/1.1 502");
      String prefix = "tanagerbank_gateway_failure_evidence_total";
      String metrics = fixture.metrics();
      assertThat(metrics)
          .contains(prefix + "{id=\"OWN\",not_run_marker=\"true\",signature=\"false\"} 1.0");
      assertThat(metrics)
          .contains(prefix + "{id=\"none\",not_run_marker=\"false\",signature=\"false\"} 1.0");
    }
  }

  private static String ok(String request, String body) {
    return "HTTP/1.1 200 X\r\nServer-Stamp: s1\r\nRequest-Id: "
        + requestId(request)
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void requestThatUpstreamDidNotRunIsRetried() throws Exception {
    AtomicInteger arrivals = new AtomicInteger();
    Function<String, String> script =
        r -> arrivals.getAndIncrement() == 0 ? refusal(requestId(r)) : ok(r, "ran");
    try (GatewayFixture fixture = new GatewayFixture(script)) {
      assertThat(fixture.send(once("r1"))).endsWith("ran");
      assertThat(fixture.arrivals()).hasSize(2);
    }
  }

  @Test
  void refusalWithoutIdIsNeitherPassedOnNorRetried() throws Exception {
    Function<String, String> withoutId =
        r -> "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    try (GatewayFixture fixture = new GatewayFixture(withoutId)) {
      assertThat(fixture.send(once("r1"))).startsWith("HTTP/1.1 502");
      assertThat(fixture.arrivals()).hasSize(1);
    }
  }

  @Test
  void requestWithoutIdIsRejectedAndNotSent() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "ran"))) {
      String request = once("r1").replace("Request-Id: r1\r\n", "");
      assertThat(fixture.send(request)).startsWith("HTTP/1.1 400");
      String twice = once("r1").replace("Host: h\r\n", "Host: h\r\nRequest-Id: r2\r\n");
      assertThat(fixture.send(twice)).startsWith("HTTP/1.1 400");
      assertThat(fixture.arrivals()).isEmpty();
    }
  }

  /** The second copy of a refusal is read where the response to the next request is due. */
  @Test
  void secondCopyOfARefusalIsNotTakenForTheNextRequest() throws Exception {
    Function<String, String> script =
        r ->
            requestId(r).equals("r1")
                ? refusal("r1")
                : refusal("r1") + ok(r, "answer to " + requestId(r));
    try (GatewayFixture fixture = new GatewayFixture(script)) {
      assertThat(fixture.send(once("r1"))).startsWith("HTTP/1.1 503");
      for (int i = 2; i < 10; i++) {
        assertThat(fixture.send(once("r" + i))).endsWith("answer to r" + i);
      }
      assertThat(fixture.arrivals()).hasSize(10);
    }
  }

  /**
   * A caller may send a request again under its id. On the connection on which it was refused, the
   * second copy of that refusal is read where its response is due.
   */
  @Test
  void secondCopyOfARefusalIsNotTakenForTheSameRequestSentAgain() throws Exception {
    AtomicInteger arrivals = new AtomicInteger();
    Function<String, String> script =
        r -> arrivals.getAndIncrement() < 2 ? refusal(requestId(r)) + REPEAT : ok(r, "ran");
    try (GatewayFixture fixture = new GatewayFixture(script)) {
      assertThat(fixture.send(once("r1"))).startsWith("HTTP/1.1 503");
      assertThat(fixture.arrivals()).hasSize(2);
      assertThat(fixture.send(once("r1"))).endsWith("ran");
      assertThat(fixture.arrivals()).hasSize(3);
    }
  }

  private static String resumable(String id) {
    return request("POST", "/resume/x", id, "Connection: close\r\nContent-Length: 0\r\n");
  }

  private static String streamHead(String request) {
    return "HTTP/1.1 200 X\r\nServer-Stamp: s1\r\nRequest-Id: "
        + requestId(request)
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  /** The first upstream ran the stream, so a refusal of the second one is no promise. */
  @Test
  void refusalOfTheSecondUpstreamIsNoPromiseAfterTheFirstMayHaveRun() throws Exception {
    for (String first : new String[] {"", "f\r\nid: 1\ndata: x\n\n\r\n"}) {
      AtomicInteger arrivals = new AtomicInteger();
      Function<String, String> script =
          r ->
              arrivals.getAndIncrement() == 0
                  ? streamHead(r) + first + RESET
                  : refusal(requestId(r));
      try (GatewayFixture fixture = new GatewayFixture(script)) {
        String answer = fixture.send(resumable("r1"));
        assertThat(fixture.arrivals()).hasSize(2);
        assertThat(answer).doesNotContain("HTTP/1.1 503");
        assertThat(answer).doesNotContain("0\r\n\r\n");
      }
    }
  }
}
