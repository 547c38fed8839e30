package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.tanagerbank.gateway.GatewayFixture.STAMP_HEADER;
import static org.tanagerbank.gateway.GatewayFixture.request;
import static org.tanagerbank.gateway.ScriptedUpstream.CLOSE;
import static org.tanagerbank.gateway.ScriptedUpstream.RESET;
import static org.tanagerbank.gateway.ScriptedUpstream.SILENCE;
import static org.tanagerbank.gateway.ScriptedUpstream.requestId;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Sends a gateway valid and malformed bytes from scripted upstreams and callers.
 *
 * <p>Guards against answers that belong to another request, are truncated without notice or come
 * from no upstream, and against requests that run twice or are smuggled inside another request.
 */
@Timeout(120)
final class GatewayTest {
  private static final String CONNECTION_CLOSE = "Connection: close\r\n";

  private static String ok(String request, String body) {
    return head(request, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String head(String request, int status) {
    return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + requestId(request) + "\r\n" + STAMP_HEADER;
  }

  /** Returns a script that answers the first request differently from all later ones. */
  private static Function<String, String> firstThen(
      Function<String, String> firstAnswer, Function<String, String> later) {
    AtomicInteger arrivals = new AtomicInteger();
    return r -> arrivals.getAndIncrement() == 0 ? firstAnswer.apply(r) : later.apply(r);
  }

  private static String get(String path) {
    return request("GET", path, "r1", CONNECTION_CLOSE);
  }

  @Test
  void answerIsPassedOnWhole() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "hello"))) {
      String answer = fixture.send(get("/safe/x?q=1"));
      assertThat(answer).startsWith("HTTP/1.1 200");
      assertThat(answer).contains("Server-Stamp: s1");
      assertThat(answer).endsWith("\r\n\r\nhello");
      String arrival = fixture.arrivals().get(0);
      assertThat(arrival).startsWith("GET /safe/x?q=1 HTTP/1.1\r\n");
      assertThat(arrival).contains("Tenant: w");
      assertThat(arrival).doesNotContain("Bearer");
    }
  }

  @Test
  void chunkedBodyArrivesWholeWithItsLength() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "x"))) {
      String chunks = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
      fixture.send(
          request("POST", "/once/x", "r1", CONNECTION_CLOSE + "Transfer-Encoding: chunked\r\n")
              + chunks);
      assertThat(fixture.arrivals().get(0)).endsWith("\r\n\r\nabcde");
    }
  }

  @Test
  void idempotentRequestIsRetriedAfterReset() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(firstThen(r -> RESET, r -> ok(r, "again")))) {
      assertThat(fixture.send(get("/safe/x"))).endsWith("again");
      assertThat(fixture.arrivals()).hasSize(2);
    }
  }

  @Test
  void requestThatMayHaveRunIsNotRetriedAndAnsweredWith502() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> RESET)) {
      assertThat(fixture.send(get("/once/x"))).startsWith("HTTP/1.1 502");
      assertThat(fixture.arrivals()).hasSize(1);
    }
  }

  @Test
  void refusalWithoutNotExecutedHeaderIsNotPassedOn() throws Exception {
    Function<String, String> refuses = r -> head(r, 503) + "Content-Length: 0\r\n\r\n";
    try (GatewayFixture fixture = new GatewayFixture(refuses)) {
      assertThat(fixture.send(get("/once/x"))).startsWith("HTTP/1.1 502");
    }
  }

  @Test
  void failureThatUpstreamReportsIsPassedOnUnchanged() throws Exception {
    Function<String, String> fails = r -> head(r, 500) + "Content-Length: 4\r\n\r\noops";
    try (GatewayFixture fixture = new GatewayFixture(fails)) {
      String answer = fixture.send(get("/once/x"));
      assertThat(answer).startsWith("HTTP/1.1 500");
      assertThat(answer).contains("Server-Stamp: s1");
      assertThat(answer).endsWith("oops");
    }
  }

  /** The request may still be answered by its own response, so it ends at its deadline. */
  @Test
  void answerOfAnotherRequestIsNotPassedOn() throws Exception {
    Function<String, String> wrong =
        r -> ok(r, "foreign").replace("Request-Id: r1", "Request-Id: other");
    try (GatewayFixture fixture = new GatewayFixture(wrong)) {
      String answer =
          fixture.send(request("GET", "/once/x", "r1", CONNECTION_CLOSE + "Deadline-Ms: 300\r\n"));
      assertThat(answer).startsWith("HTTP/1.1 504");
      assertThat(answer).doesNotContain("foreign");
      assertThat(fixture.arrivals()).hasSize(1);
    }
  }

  @Test
  void unsolicitedAnswerIsDiscarded() throws Exception {
    Function<String, String> twice = r -> ok(r, "one") + ok(r, "two");
    try (GatewayFixture fixture = new GatewayFixture(twice)) {
      String answers =
          fixture.send(
              request("GET", "/safe/x", "r1", "")
                  + request("GET", "/safe/x", "r2", CONNECTION_CLOSE));
      assertThat(answers).doesNotContain("two");
      assertThat(answers.split("HTTP/1.1 200", -1)).hasLength(3);
    }
  }

  @Test
  void successWithoutServerStampIsNotPassedOn() throws Exception {
    Function<String, String> withoutStamp = r -> ok(r, "x").replace(STAMP_HEADER, "");
    try (GatewayFixture fixture = new GatewayFixture(withoutStamp)) {
      assertThat(fixture.send(get("/once/x"))).startsWith("HTTP/1.1 502");
    }
  }

  @Test
  void truncatedAnswerIsNotPassedOn() throws Exception {
    Function<String, String> truncated =
        r -> head(r, 200) + "Content-Length: 10\r\n\r\nabc" + CLOSE;
    try (GatewayFixture fixture = new GatewayFixture(truncated)) {
      assertThat(fixture.send(get("/once/x"))).startsWith("HTTP/1.1 502");
    }
  }

  @Test
  void answerWithoutLengthEndsWithItsConnection() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> head(r, 200) + "\r\nunframed" + CLOSE)) {
      assertThat(fixture.send(get("/once/x"))).endsWith("unframed");
    }
    try (GatewayFixture fixture = new GatewayFixture(r -> head(r, 200) + "\r\nunframed" + RESET)) {
      assertThat(fixture.send(get("/once/x"))).startsWith("HTTP/1.1 502");
    }
  }

  @Test
  void bytesThatAreNoResponseAreNotPassedOn() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> "garbage\r\n\r\n")) {
      assertThat(fixture.send(get("/once/x"))).startsWith("HTTP/1.1 502");
    }
  }

  @Test
  void requestToASilentUpstreamEndsAtItsDeadline() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> SILENCE)) {
      String answer =
          fixture.send(request("GET", "/once/x", "r1", CONNECTION_CLOSE + "Deadline-Ms: 300\r\n"));
      assertThat(answer).startsWith("HTTP/1.1 504");
    }
  }

  /** An upstream that accepts requests and never answers must not be chosen again. */
  @Test
  void upstreamThatHangsIsAvoided() throws Exception {
    AtomicReference<String> hanging = new AtomicReference<>();
    Function<String, String> script =
        r -> {
          String instance = r.substring(r.indexOf("Expect-Instance: "), r.indexOf("Deadline-Ms"));
          hanging.compareAndSet(null, instance);
          return instance.equals(hanging.get()) ? SILENCE : ok(r, "fine");
        };
    try (GatewayFixture fixture = new GatewayFixture(script)) {
      String request = request("GET", "/once/x", "r1", CONNECTION_CLOSE + "Deadline-Ms: 1100\r\n");
      assertThat(fixture.send(request)).startsWith("HTTP/1.1 504");
      for (int i = 0; i < 5; i++) {
        assertThat(fixture.send(request)).endsWith("fine");
      }
    }
  }

  private static String events(String request, int from, int to) {
    StringBuilder text =
        new StringBuilder(head(request, 200))
            .append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = from; i <= to; i++) {
      String event = "id: " + i + "\ndata: e" + i + "\n\n";
      text.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
    }
    return text.toString();
  }

  @Test
  void streamIsPassedOnWhole() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> events(r, 1, 3) + "0\r\n\r\n")) {
      String answer = fixture.send(get("/stream/x"));
      assertThat(answer).contains("e1");
      assertThat(answer).endsWith("0\r\n\r\n");
    }
  }

  @Test
  void truncatedStreamIsTruncatedForTheCaller() throws Exception {
    Function<String, String> truncated = r -> events(r, 1, 2) + "9\r\nid: 3" + RESET;
    try (GatewayFixture fixture = new GatewayFixture(truncated)) {
      String answer = fixture.send(get("/stream/x"));
      assertThat(answer).doesNotContain("0\r\n\r\n");
      assertThat(answer).doesNotContain("id: 3");
    }
  }

  @Test
  void resumableStreamContinuesAfterItsLastEvent() throws Exception {
    Function<String, String> script =
        firstThen(r -> events(r, 1, 2) + RESET, r -> events(r, 3, 4) + "0\r\n\r\n");
    try (GatewayFixture fixture = new GatewayFixture(script)) {
      String answer = fixture.send(get("/resume/x"));
      assertThat(answer).endsWith("0\r\n\r\n");
      assertThat(answer.split("id: ", -1)).hasLength(5);
      assertThat(String.join("", fixture.arrivals())).contains("Last-Event-Id: 2");
    }
  }

  @Test
  void gatewayServesOthersAfterACallerDisconnects() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> events(r, 1, 1) + SILENCE)) {
      try (Socket socket = fixture.connect()) {
        socket.getOutputStream().write(get("/stream/x").getBytes(ISO_8859_1));
        socket.getInputStream().read();
      }
      // The same gateway serves a second caller afterwards.
      assertThat(fixture.send(request("GET", "/none/", "r2", CONNECTION_CLOSE)))
          .startsWith("HTTP/1.1 404");
    }
  }

  @Test
  void ambiguousRequestIsRejectedAndItsConnectionClosed() throws Exception {
    String smuggled = request("GET", "/safe/smuggled", "r2", "");
    String[] heads = {
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 4\r\nContent-Length: 5\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding:\r\n chunked\r\n",
      "Content-Length: +4\r\n",
      "Content-Length : 4\r\n",
      "X-Folded: a\r\n b\r\n",
      "Host: other\r\n",
    };
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "x"))) {
      for (String head : heads) {
        String answer =
            fixture.send(request("POST", "/once/x", "r1", head) + "0\r\n\r\n" + smuggled);
        assertThat(answer).startsWith("HTTP/1.1 400");
        assertThat(answer.split("HTTP/1.1", -1)).hasLength(2);
      }
      assertThat(fixture.arrivals()).isEmpty();
    }
  }

  @Test
  void requestBeyondTheLimitsIsRejected() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "x"))) {
      String longHeader = "X-Long: " + "a".repeat(3_000) + "\r\n";
      assertThat(fixture.send(request("GET", "/safe/x", "r1", longHeader)))
          .startsWith("HTTP/1.1 431");
      assertThat(fixture.send(request("POST", "/once/x", "r1", "Content-Length: 6000\r\n")))
          .startsWith("HTTP/1.1 413");
      String chunks = ("1000\r\n" + "b".repeat(4_096) + "\r\n").repeat(2) + "0\r\n\r\n";
      assertThat(
              fixture.send(
                  request("POST", "/once/x", "r1", "Transfer-Encoding: chunked\r\n") + chunks))
          .startsWith("HTTP/1.1 413");
      assertThat(fixture.send("GET /safe/x HTTP/1.1\r\nHost:")).startsWith("HTTP/1.1 408");
      assertThat(fixture.arrivals()).isEmpty();
    }
  }

  @Test
  void requestsAreCounted() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "x"))) {
      fixture.send(get("/safe/x"));
      fixture.send(get("/none/x"));
      String metrics = fixture.metrics();
      assertThat(metrics).startsWith("HTTP/1.1 200");
      assertThat(metrics).contains("tanagerbank_gateway_requests_total{status=\"200\"} 1.0");
      assertThat(metrics)
          .contains("tanagerbank_gateway_rejected_total{reason=\"no route\",status=\"404\"} 1.0");
      assertThat(metrics).contains("tanagerbank_gateway_request_seconds_count 1");
      assertThat(metrics).contains("tanagerbank_gateway_config_version 1.0");
    }
  }

  @Test
  void unknownKeyAndRouteAreRejected() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "x"))) {
      assertThat(fixture.send(get("/safe/x").replace("Bearer key", "Bearer other")))
          .startsWith("HTTP/1.1 401");
      assertThat(fixture.send(get("/safe/x").replace("Host: h", "Host: g")))
          .startsWith("HTTP/1.1 404");
      assertThat(fixture.arrivals()).isEmpty();
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "for " + requestId(r)))) {
      StringBuilder requests = new StringBuilder();
      for (int i = 0; i < 5; i++) {
        requests.append(request("GET", "/safe/x", "p" + i, i == 4 ? CONNECTION_CLOSE : ""));
      }
      String answers = fixture.send(requests.toString());
      int lastIndex = -1;
      for (int i = 0; i < 5; i++) {
        int index = answers.indexOf("for p" + i);
        assertThat(index).isGreaterThan(lastIndex);
        lastIndex = index;
      }
    }
  }

  @Test
  void drainAnswersRequestsOnOpenConnectionsAndEnds() throws Exception {
    GatewayFixture fixture = new GatewayFixture(r -> ok(r, "x"));
    try (Socket socket = fixture.connect()) {
      Thread stopping = new Thread(() -> drain(fixture.gateway()));
      stopping.start();
      String answer = "";
      while (!answer.contains("connection: close")) {
        socket.getOutputStream().write(request("GET", "/safe/x", "r1", "").getBytes(ISO_8859_1));
        answer = GatewayFixture.readUntil(socket.getInputStream(), "\r\n\r\nx");
        assertThat(answer).startsWith("HTTP/1.1 200");
      }
      stopping.join();
    } finally {
      fixture.close();
    }
  }

  private static void drain(Gateway gateway) {
    try {
      gateway.drain(/* millisSinceRequest= */ 0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void keysStopWorkingWhileTheStoreIsUnavailable() throws IOException, InterruptedException {
    try (GatewayFixture fixture = new GatewayFixture(r -> ok(r, "x"))) {
      fixture.store().becomeUnavailable();
      String answer = "";
      while (!answer.startsWith("HTTP/1.1 503")) {
        answer = fixture.send(get("/safe/x"));
      }
      assertThat(answer).contains("retry-after: ");
      assertThat(fixture.send(get("/safe/x"))).startsWith("HTTP/1.1 503");
    }
  }
}
