package org.tanagerbank.standin;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.RecordingListener;
import org.tanagerbank.http.ServerSentEvents;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Guards against stand-ins whose answers or injected faults differ from what other tests expect.
 */
final class EngineStandinTest {
  private static final InetSocketAddress FREE_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final int LONG_ANSWER = 50_000;

  private final EngineStandin engine =
      EngineStandin.create(
          FREE_PORT,
          EngineSettings.defaults()
              .stepMillis(1)
              .crashMarker("POISON")
              .restartMillis(0)
              .checkFencing(true));
  private final AsyncHttpClient client = AsyncHttpClient.create(2_000);

  @BeforeEach
  void start() {
    engine.start();
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    engine.stop();
  }

  private static List<ChatMessage> chat(String text) {
    return List.of(new ChatMessage("system", "be brief"), new ChatMessage("user", text));
  }

  private static ObjectNode body(List<ChatMessage> messages, int maxTokens, boolean stream) {
    ObjectNode body =
        Json.object().put("model", "draft-1").put("max_tokens", maxTokens).put("stream", stream);
    ArrayNode rows = body.putArray("messages");
    messages.forEach(m -> rows.addObject().put("role", m.role()).put("content", m.content()));
    return body;
  }

  private static HttpRequestMessage post(String path, ObjectNode body, String... headers) {
    ImmutableMap.Builder<String, String> map = ImmutableMap.builder();
    for (int i = 0; i < headers.length; i += 2) {
      map.put(headers[i], headers[i + 1]);
    }
    return new HttpRequestMessage("POST", path, map.buildOrThrow(), Json.bytes(body));
  }

  private HttpResponseMessage exchange(HttpRequestMessage request) {
    return client.exchange(engine.address(), request, 20_000);
  }

  private ObjectNode call(HttpRequestMessage request) {
    HttpResponseMessage response = exchange(request);
    assertThat(response.status()).isEqualTo(200);
    return Json.parseObject(response.body());
  }

  private ObjectNode get(String path) {
    return call(new HttpRequestMessage("GET", path, ImmutableMap.of(), new byte[0]));
  }

  private ObjectNode complete(List<ChatMessage> messages, int maxTokens, String... headers) {
    return call(post("/v1/chat/completions", body(messages, maxTokens, false), headers));
  }

  private RecordingListener stream(List<ChatMessage> messages, int maxTokens, String... headers) {
    RecordingListener listener = new RecordingListener();
    HttpCall unused =
        client.send(
            engine.address(),
            post("/v1/chat/completions", body(messages, maxTokens, true), headers),
            Integer.MAX_VALUE,
            listener);
    return listener;
  }

  private static List<String> tokens(byte[] body) {
    List<String> tokens = new ArrayList<>();
    ServerSentEvents.reader(
            event -> {
              String data = event.data();
              if (data.startsWith("{") && event.type().equals("message")) {
                ObjectNode chunk = Json.parseObject(data.getBytes(UTF_8));
                String text = chunk.at("/choices/0/delta/content").asText();
                if (!text.isEmpty()) {
                  tokens.add(text);
                }
              } else {
                tokens.add(data);
              }
            })
        .read(body);
    return tokens;
  }

  private static List<String> withDone(List<String> tokens) {
    List<String> all = new ArrayList<>(tokens);
    all.add("[DONE]");
    return all;
  }

  @Test
  void streamedWholeAndResumedAnswersMatchTheExpectedTokens() throws Exception {
    List<String> expected = ExpectedAnswer.tokens("draft-1", chat("hi"), 20);
    ObjectNode whole = complete(chat("hi"), 20);
    assertThat(whole.at("/choices/0/message/content").asText())
        .isEqualTo(ExpectedAnswer.text("draft-1", chat("hi"), 20));
    assertThat(whole.at("/usage/prompt_tokens").asInt()).isEqualTo(5);
    assertThat(whole.at("/usage/completion_tokens").asInt()).isEqualTo(20);
    RecordingListener streamed = stream(chat("hi"), 20);
    assertThat(streamed.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
    assertThat(tokens(streamed.body())).isEqualTo(withDone(expected));
    RecordingListener resumed = stream(chat("hi"), 20, "X-Resume-Tokens", "12");
    assertThat(resumed.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
    assertThat(tokens(resumed.body())).isEqualTo(withDone(expected.subList(12, 20)));
    assertThat(ExpectedAnswer.tokens("draft-1", chat("ho"), 20)).containsNoneIn(expected);
  }

  @Test
  void laterTurnReusesTheCachedPrefixUntilACrash() {
    List<ChatMessage> turn = new ArrayList<>(chat("w ".repeat(100)));
    assertThat(cachedTokens(turn)).isEqualTo(0);
    turn.add(new ChatMessage("assistant", ExpectedAnswer.text("draft-1", turn, 40)));
    turn.add(new ChatMessage("user", "go on"));
    assertThat(cachedTokens(turn)).isAtLeast(128);
    ObjectNode blocks = call(post("/v1/kv/export", body(turn, 1, false)));
    assertThat(blocks.get("tokens").asInt()).isAtLeast(128);
    engine.crash(0);
    assertThat(call(post("/v1/kv/export", body(turn, 1, false))).get("tokens").asInt())
        .isEqualTo(0);
    call(post("/v1/kv/import", blocks));
    assertThat(cachedTokens(turn)).isAtLeast(128);
    assertThat(get("/cache-events?from=1").get("events").findValuesAsText("type"))
        .containsAtLeast("stored", "cleared");
  }

  private int cachedTokens(List<ChatMessage> messages) {
    return complete(messages, 40).at("/usage/prompt_tokens_details/cached_tokens").asInt();
  }

  @Test
  void cancelEndsOnlyTheRequestWithTheId() throws Exception {
    RecordingListener cancelled = stream(chat("a"), LONG_ANSWER, "X-Request-Id", "r1");
    RecordingListener other = stream(chat("b"), LONG_ANSWER, "X-Request-Id", "r2");
    cancelled.awaitData();
    other.awaitData();
    ObjectNode cancel = Json.object().put("request_id", "r1");
    assertThat(call(post("/v1/cancel", cancel)).get("cancelled").asInt()).isEqualTo(1);
    cancelled.outcome.get(20, TimeUnit.SECONDS);
    assertThat(new String(cancelled.body(), UTF_8)).contains("event: error");
    assertThat(tokens(cancelled.body())).doesNotContain("[DONE]");
    assertThat(other.outcome.isDone()).isFalse();
    assertThat(get("/load").get("running").asInt()).isEqualTo(1);
    ObjectNode all = Json.object().put("all", true);
    assertThat(call(post("/v1/cancel", all)).get("cancelled").asInt()).isEqualTo(1);
  }

  @Test
  void callerDisconnectRemovesItsRequestFromTheBatch() throws Exception {
    RecordingListener listener = new RecordingListener();
    HttpCall call =
        client.send(
            engine.address(),
            post("/v1/chat/completions", body(chat("a"), LONG_ANSWER, true)),
            Integer.MAX_VALUE,
            listener);
    listener.awaitData();
    call.cancel();
    RecordingListener.await("the engine is idle", () -> get("/load").get("running").asInt() == 0);
  }

  @Test
  void slowReaderPausesOnlyItsRequest() throws Exception {
    RecordingListener listener = new RecordingListener();
    HttpCall call =
        client.send(
            engine.address(),
            post("/v1/chat/completions", body(chat("a"), 2_000, true)),
            1,
            listener);
    listener.awaitData();
    assertThat(complete(chat("b"), 5).has("usage")).isTrue();
    call.addCredit(Integer.MAX_VALUE);
    assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
    assertThat(tokens(listener.body()))
        .isEqualTo(withDone(ExpectedAnswer.tokens("draft-1", chat("a"), 2_000)));
  }

  @Test
  void crashMarkerAbortsAllRequestsAndIsCounted() throws Exception {
    RecordingListener victim = stream(chat("a"), LONG_ANSWER);
    victim.awaitData();
    TanagerException crashed =
        assertThrows(TanagerException.class, () -> complete(chat("a POISON b"), 1));
    assertThat(crashed.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    assertThat(victim.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("may have run");
    assertThat(get("/admin").get("crashes").asInt()).isEqualTo(1);
    assertThat(complete(chat("a"), 1).has("usage")).isTrue();
  }

  @Test
  void downEngineAnswersOnlyItsAdminPath() {
    call(post("/admin", Json.object().put("crashMillis", 1_000_000)));
    assertThrows(TanagerException.class, () -> get("/health"));
    call(post("/admin", Json.object().put("crashMillis", 0)));
    assertThat(get("/health").get("status").asText()).isEqualTo("ok");
  }

  @Test
  void frozenEngineAnswersOnlyAfterTheFreeze() throws Exception {
    call(post("/admin", Json.object().put("freezeMillis", 300)));
    RecordingListener frozen = stream(chat("a"), 3);
    assertThat(get("/admin").get("frozenMillis").asInt()).isAtMost(300);
    assertThat(frozen.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
  }

  @Test
  void slowEngineContinuesWhenItsSlowFactorIsReset() throws Exception {
    call(post("/admin", Json.object().put("slowFactor", 1_000_000)));
    RecordingListener slow = stream(chat("a"), 3);
    assertThat(slow.head.get(20, TimeUnit.SECONDS)).isEqualTo(200);
    assertThat(get("/load").get("waiting").asInt()).isEqualTo(1);
    call(post("/admin", Json.object().put("slowFactor", 1)));
    assertThat(slow.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
  }

  @Test
  void requestWithLostAnswerRunsAndIsCountedByIdAndKey() {
    call(post("/admin", Json.object().put("loseAnswers", 1)));
    String[] headers = {"X-Request-Id", "r1", "Idempotency-Key", "k1"};
    TanagerException lost =
        assertThrows(TanagerException.class, () -> complete(chat("a"), 3, headers));
    assertThat(lost.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    complete(chat("a"), 3, "X-Request-Id", "r2", "Idempotency-Key", "k1");
    ObjectNode counts = get("/admin/executions");
    assertThat(counts.get("total").asInt()).isEqualTo(2);
    assertThat(counts.at("/requests/r1").asInt()).isEqualTo(1);
    assertThat(counts.at("/keys/k1").asInt()).isEqualTo(2);
  }

  @Test
  void outdatedOrderIsRejected() {
    HttpRequestMessage newer =
        post("/orders", Json.object().put("order", "load").put("fencing", 7));
    HttpRequestMessage outdated =
        post("/orders", Json.object().put("order", "load").put("fencing", 6));
    assertThat(exchange(newer).status()).isEqualTo(200);
    assertThat(exchange(outdated).status()).isEqualTo(409);
    assertThat(get("/orders").get("orders")).hasSize(1);
    assertThat(new AcceptedOrders(false).submitOrder(Json.parseObject(newer.body())).status())
        .isEqualTo(200);
  }

  @Test
  void invalidRequestsAreRejected() {
    assertThat(exchange(post("/v1/chat/completions", Json.object())).status()).isEqualTo(400);
    assertThat(
            exchange(post("/v1/chat/completions", body(chat("a"), 2, true), "X-Resume-Tokens", "3"))
                .status())
        .isEqualTo(416);
    assertThat(exchange(post("/nowhere", Json.object())).status()).isEqualTo(404);
  }

  @Test
  void plainServiceEchoesAndCountsExecutionsByBody() {
    PlainStandin plain = PlainStandin.create(FREE_PORT, 1);
    plain.start();
    HttpRequestMessage request =
        new HttpRequestMessage(
            "PUT", "/a/b?c=d", ImmutableMap.of("X-Request-Id", "r1"), new byte[] {1});
    ObjectNode echo = Json.parseObject(client.exchange(plain.address(), request, 20_000).body());
    assertThat(echo.toString())
        .isEqualTo(
            "{\"method\":\"PUT\",\"path\":\"/a/b?c=d\",\"bodyHash\":\""
                + PlainStandin.bodyHash(new byte[] {1})
                + "\",\"requestId\":\"r1\",\"execution\":1}");
    plain.loseNextAnswers(1);
    TanagerException lost =
        assertThrows(
            TanagerException.class, () -> client.exchange(plain.address(), request, 20_000));
    assertThat(lost.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    HttpRequestMessage counts =
        new HttpRequestMessage("GET", "/admin/executions", ImmutableMap.of(), new byte[0]);
    ObjectNode executions =
        Json.parseObject(client.exchange(plain.address(), counts, 20_000).body());
    assertThat(executions.at("/bodies/" + PlainStandin.bodyHash(new byte[] {1})).asInt())
        .isEqualTo(2);
    plain.setUnreachable(true);
    assertThrows(TanagerException.class, () -> client.exchange(plain.address(), request, 20_000));
    plain.stop();
  }
}
