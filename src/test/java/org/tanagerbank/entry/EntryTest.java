package org.tanagerbank.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;

/**
 * Guards against faults on the path from a caller through an entry and a sidecar to an engine and
 * back that show only with real sockets: in HTTP and link I/O, when a process stops or is killed,
 * when a link goes silent, and when the log is down.
 */
final class EntryTest {
  private LocalFleet fleet;

  @AfterEach
  void close() {
    fleet.close();
  }

  private static String text(HttpResponseMessage response) {
    return new String(response.body(), UTF_8);
  }

  private static String code(HttpResponseMessage response) {
    return Json.parseObject(response.body()).path("error").path("code").asText();
  }

  @Test
  void answersArriveInFull() {
    fleet = new LocalFleet(1, 2);
    HttpResponseMessage whole =
        fleet.chat(0, "hello", 20, false, "x-workspace", "w", "x-chat-id", "c");
    assertWithMessage(text(whole)).that(whole.status()).isEqualTo(200);
    assertThat(Json.parseObject(whole.body()).path("usage").path("completion_tokens").asInt())
        .isEqualTo(20);
    HttpResponseMessage streamed =
        fleet.chat(0, "hello", 20, true, "x-workspace", "w", "x-chat-id", "c");
    assertThat(streamed.headers().get("content-type")).startsWith("text/event-stream");
    assertThat(text(streamed)).contains("data: [DONE]");
    assertThat(fleet.executions("engine")).isEqualTo(2);
    HttpResponseMessage plain = fleet.call(0, "POST", "/services/register-app/a/b?x=1", "{}");
    assertWithMessage(text(plain)).that(plain.status()).isEqualTo(200);
    assertThat(text(plain)).contains("/a/b?x=1");
  }

  @Test
  void badRequestsGetTheirErrorCodes() {
    fleet = new LocalFleet(1, 1);
    assertThat(code(fleet.call(0, "GET", "/nowhere", ""))).isEqualTo("NOT_FOUND");
    assertThat(code(fleet.call(0, "POST", "/v1/chat/completions", "{")))
        .isEqualTo("MALFORMED_JSON");
    HttpResponseMessage large = fleet.chat(0, "x".repeat(200_000), 1, false);
    assertThat(large.status()).isEqualTo(413);
    HttpResponseMessage metrics = fleet.call(0, "GET", "/metrics", "");
    assertThat(text(metrics)).contains("code=\"MALFORMED_JSON\"");
    HttpResponseMessage status = fleet.call(0, "GET", "/status", "");
    assertThat(Json.parseObject(status.body()).path("services").has("model-pool")).isTrue();
  }

  /** A repetition with the same key through another entry gets the answer of the first run. */
  @Test
  void requestWithIssuedKeyRunsOnce() {
    fleet = new LocalFleet(2, 2);
    String key = issueKey(0);
    HttpResponseMessage first = fleet.chat(0, "a", 5, false, "idempotency-key", key);
    HttpResponseMessage second = fleet.chat(1, "a", 5, false, "idempotency-key", key);
    assertThat(first.status()).isEqualTo(200);
    assertThat(text(second)).isEqualTo(text(first));
    assertThat(fleet.executions("engine")).isEqualTo(1);
    HttpResponseMessage other = fleet.chat(1, "b", 5, false, "idempotency-key", key);
    assertThat(other.status()).isEqualTo(422);
    assertThat(code(other)).isEqualTo("KEY_REUSED");
  }

  private String issueKey(int entry) {
    HttpResponseMessage response =
        fleet.call(entry, "POST", "/v1/request-keys", "{\"service\":\"model-pool\"}");
    return Json.parseObject(response.body()).path("key").asText();
  }

  @Test
  void requestWithCallerGeneratedKeyRunsOnceAcrossEntries() throws Exception {
    fleet = new LocalFleet(2, 3);
    ExecutorService callers = Executors.newFixedThreadPool(8);
    try {
      List<Future<HttpResponseMessage>> responses = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        int entry = i % 2;
        responses.add(
            callers.submit(
                () -> {
                  String chat = "chat-" + Thread.currentThread().getId();
                  return fleet.chat(
                      entry,
                      "a",
                      30,
                      false,
                      "idempotency-key",
                      "my-key",
                      "x-non-idempotent",
                      "true",
                      "x-chat-id",
                      chat);
                }));
      }
      Set<String> bodies = new HashSet<>();
      for (Future<HttpResponseMessage> response : responses) {
        assertWithMessage(text(response.get())).that(response.get().status()).isEqualTo(200);
        bodies.add(text(response.get()));
      }
      assertThat(bodies).hasSize(1);
      assertThat(fleet.executions("engine")).isEqualTo(1);
    } finally {
      callers.shutdownNow();
    }
  }

  @Test
  void logOutageRejectsOnlyCallerGeneratedKeys() {
    fleet = new LocalFleet(1, 1);
    fleet.log.setOutage(true);
    HttpResponseMessage callerGenerated =
        fleet.chat(0, "a", 5, false, "idempotency-key", "k", "x-non-idempotent", "true");
    assertThat(code(callerGenerated)).isEqualTo("LOG_UNAVAILABLE");
    // An earlier copy with the same key may have run. Without the log the entry cannot find out.
    assertThat(Json.parseObject(callerGenerated.body()).path("error").path("verdict").asText())
        .isEqualTo("MAY_HAVE_RUN");
    HttpResponseMessage issued =
        fleet.chat(0, "a", 5, false, "idempotency-key", issueKey(0), "x-non-idempotent", "true");
    assertThat(issued.status()).isEqualTo(200);
    assertThat(fleet.chat(0, "b", 5, false).status()).isEqualTo(200);
  }

  @Test
  void idempotentRequestsCompleteAfterSidecarIsKilled() throws Exception {
    fleet = new LocalFleet(1, 3);
    ExecutorService callers = Executors.newFixedThreadPool(12);
    try {
      List<Future<HttpResponseMessage>> responses = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        String chat = "c" + i;
        responses.add(callers.submit(() -> fleet.chat(0, chat, 400, false, "x-chat-id", chat)));
      }
      LocalFleet.await(() -> fleet.executions("engine") == 12);
      fleet.kill("engine-1");
      for (Future<HttpResponseMessage> response : responses) {
        assertThat(text(response.get())).contains("\"completion_tokens\":400");
      }
    } finally {
      callers.shutdownNow();
    }
  }

  @Test
  void plannedStopFinishesAnswersInFlight() throws Exception {
    fleet = new LocalFleet(1, 1);
    ExecutorService callers = Executors.newSingleThreadExecutor();
    try {
      Future<HttpResponseMessage> response = callers.submit(() -> fleet.chat(0, "a", 500, true));
      LocalFleet.await(() -> fleet.executions("engine") == 1);
      fleet.entries.get(0).drain();
      assertThat(text(response.get())).contains("[DONE]");
      HttpResponseMessage refused = fleet.chat(0, "b", 1, false);
      assertThat(code(refused)).isEqualTo("LEAVING");
      assertThat(refused.headers()).containsKey("retry-after");
      assertThat(fleet.statusCode(fleet.entries.get(0).httpAddress(), "/health/ready"))
          .isEqualTo(503);
      assertThat(fleet.statusCode(fleet.entries.get(0).httpAddress(), "/health/live"))
          .isEqualTo(200);
    } finally {
      callers.shutdownNow();
    }
  }

  /** An entry that starts while the log is down fetches the configuration from other entries. */
  @Test
  void entryFetchesConfigurationFromPeersWhileLogIsDown() {
    fleet = new LocalFleet(1, 1);
    fleet.log.setOutage(true);
    Entry addedEntry = fleet.addEntry("entry-late");
    LocalFleet.await(() -> addedEntry.fleet().config().isPresent());
    LocalFleet.await(() -> !addedEntry.fleet().upstreams("model-pool").isEmpty());
    assertThat(fleet.chat(1, "a", 3, false).status()).isEqualTo(200);
  }

  /** A link that goes silent is replaced, and the answer continues at the byte where it stopped. */
  @Test
  void answerResumesAfterLinkGoesSilent() throws Exception {
    fleet = new LocalFleet(1, 1);
    try (TcpRelay relay = new TcpRelay(fleet.sidecars.get("engine-0").linkAddress())) {
      fleet.moveSidecar("engine-0", relay.address());
      ExecutorService callers = Executors.newSingleThreadExecutor();
      Future<HttpResponseMessage> response =
          callers.submit(() -> fleet.chat(0, "a", 1_000, true, "x-non-idempotent", "true"));
      LocalFleet.await(() -> fleet.executions("engine") == 1);
      relay.silence();
      String answer = text(response.get());
      assertThat(answer).contains("[DONE]");
      assertThat(answer.split("data: ", -1)).hasLength(1_000 + 3);
      assertThat(fleet.executions("engine")).isEqualTo(1);
      callers.shutdownNow();
    }
  }

  @Test
  void requestIsCancelledWhenCallerDisconnects() throws Exception {
    fleet = new LocalFleet(1, 1);
    InetSocketAddress entry = fleet.entries.get(0).httpAddress();
    String body =
        "{\"model\":\"draft-1\",\"max_tokens\":90000,\"stream\":true,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";
    try (Socket socket = new Socket(entry.getAddress(), entry.getPort())) {
      socket
          .getOutputStream()
          .write(
              ("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body)
                  .getBytes(UTF_8));
      assertThat(socket.getInputStream().read()).isNotEqualTo(-1);
      assertThat(fleet.running("engine-0")).isEqualTo(1);
    }
    LocalFleet.await(() -> fleet.running("engine-0") == 0);
  }

  @Test
  void sidecarsReceiveConfigurationChanges() {
    fleet = new LocalFleet(2, 2);
    fleet.publish(LocalFleet.DECLARATION + "    deterministic: true\n");
    LocalFleet.await(
        () ->
            fleet.sidecars.values().stream()
                .allMatch(s -> fleet.revisionOf(s.httpAddress()) == fleet.revision()));
  }

  /** Each entry computes the mean load from the load reports to all entries. */
  @Test
  void entriesAgreeOnMeanLoad() throws Exception {
    fleet = new LocalFleet(2, 3);
    ExecutorService callers = Executors.newFixedThreadPool(6);
    for (int i = 0; i < 6; i++) {
      String chat = "c" + i;
      var unused = callers.submit(() -> fleet.chat(0, chat, 2_000, false, "x-chat-id", chat));
    }
    LocalFleet.await(() -> fleet.meanLoad(1) == 2 && fleet.meanLoad(0) == 2);
    callers.shutdownNow();
  }
}
