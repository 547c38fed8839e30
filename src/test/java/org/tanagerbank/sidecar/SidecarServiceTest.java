package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.link.LinkServer;
import org.tanagerbank.proto.LinkProto.Cancel;
import org.tanagerbank.proto.LinkProto.ConfigPush;
import org.tanagerbank.proto.LinkProto.Failed;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.proto.LinkProto.VerdictCode;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.standin.EngineSettings;
import org.tanagerbank.standin.EngineStandin;
import org.tanagerbank.standin.PlainStandin;

/**
 * Guards against faults of a running sidecar outside the exchange of chats: changed plain calls,
 * missing load reports and metrics, work that is not cancelled at the engine, lost answers that are
 * reported as not run, and requests that a stop with a drain limit leaves without an outcome.
 */
final class SidecarServiceTest {
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  private final AsyncHttpClient http = AsyncHttpClient.create(2_000);

  @BeforeEach
  void start() {
    http.start();
  }

  @AfterEach
  void stop() {
    http.stop();
  }

  private HttpResponseMessage get(InetSocketAddress address, String path) {
    return http.exchange(
        address, new HttpRequestMessage("GET", path, ImmutableMap.of(), new byte[0]), 10_000);
  }

  private ObjectNode json(InetSocketAddress address, String path) {
    return Json.parseObject(get(address, path).body());
  }

  /** Reads a JSON document again and again until it meets a condition. */
  private ObjectNode awaitJson(
      InetSocketAddress from, String path, Predicate<ObjectNode> condition) {
    ObjectNode read = json(from, path);
    while (!condition.test(read)) {
      read = json(from, path);
    }
    return read;
  }

  @Test
  void plainCallReachesUpstreamUnchanged() {
    PlainStandin plain = PlainStandin.create(ANY_PORT, 0);
    try (SidecarFixture fixture = new SidecarFixture(plain, "register-app")) {
      FakeEntry entry = fixture.entry();
      entry.pushConfig(1, SidecarFixture.DECLARATION);
      awaitJson(fixture.sidecar.httpAddress(), "/status", s -> s.path("accepting").asBoolean());
      Submit.Builder call =
          fixture
              .submit("register-app", "a body")
              .setMethod("PUT")
              .setPath("/register/entries?x=1")
              .setNonIdempotent(true);
      entry.submit(call);
      assertThat(entry.outcome(call.getRequest(), 1).getEnd().getHttpStatus()).isEqualTo(200);
      String echo = entry.bytes(call.getRequest(), 1).toStringUtf8();
      assertThat(echo).contains("\"method\":\"PUT\"");
      assertThat(echo).contains("\"path\":\"/register/entries?x=1\"");
      assertThat(echo).contains(PlainStandin.bodyHash("a body".getBytes(StandardCharsets.UTF_8)));
    }
  }

  /** Guards against answers that differ because an engine repeats the id of the request. */
  @Test
  void roundsOfOneRequestHaveTheSameNameAtTheUpstream() {
    PlainStandin plain = PlainStandin.create(ANY_PORT, 0);
    try (SidecarFixture fixture = new SidecarFixture(plain, "register-app")) {
      FakeEntry entry = fixture.entry();
      entry.pushConfig(1, SidecarFixture.DECLARATION);
      awaitJson(fixture.sidecar.httpAddress(), "/status", s -> s.path("accepting").asBoolean());
      RequestId first = RequestId.firstRound("entry-1", 1, 7);
      RequestId second = first.nextRound().orElseThrow();
      assertThat(requestIdAtUpstream(fixture, entry, first)).isEqualTo("entry-1.1.7");
      assertThat(requestIdAtUpstream(fixture, entry, second)).isEqualTo("entry-1.1.7");
    }
  }

  private static String requestIdAtUpstream(SidecarFixture fixture, FakeEntry entry, RequestId id) {
    RequestRef ref = FakeEntry.ref(id.sequence());
    entry.submit(
        fixture
            .submit("register-app", "a body")
            .setRequest(ref)
            .setMethod("POST")
            .setPath("/register/entries"));
    assertThat(entry.outcome(ref, 1).getEnd().getHttpStatus()).isEqualTo(200);
    return Json.parseObject(entry.bytes(ref, 1).toByteArray()).path("requestId").asText();
  }

  @Test
  void reportsToEntryAndAppliesItsConfiguration() throws Exception {
    BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    LinkServer entry = LinkServer.create(ANY_PORT, new RecordingEntry(frames));
    entry.start();
    try (SidecarFixture fixture = new SidecarFixture(EngineSettings.defaults())) {
      fixture.instances.register(
          new InstanceInfo(
              "entry-1",
              InstanceKind.ENTRY,
              "",
              new Zone("zone-a", "region"),
              entry.address(),
              ANY_PORT,
              1,
              InstanceState.LIVE));
      assertThat(frames.take().getHello().getService()).isEqualTo("model-pool");
      Frame report = frames.take();
      while (!report.getLoadReport().getAccepting()) {
        report = frames.take();
      }
      assertThat(report.getLoadReport().getRevision()).isEqualTo(4);
      ObjectNode status = json(fixture.sidecar.httpAddress(), "/status");
      assertThat(status.path("reportingEntry").asText()).isEqualTo("entry-1");
      assertThat(get(fixture.sidecar.httpAddress(), "/health/ready").status()).isEqualTo(200);
    } finally {
      entry.stop();
    }
  }

  /** Pushes a declaration on each link, and records the frames received. */
  private record RecordingEntry(BlockingQueue<Frame> frames) implements LinkHandler {
    @Override
    public void opened(Link link) {
      link.send(
          Frame.newBuilder()
              .setConfigPush(
                  ConfigPush.newBuilder().setRevision(4).setText(SidecarFixture.DECLARATION))
              .build());
    }

    @Override
    public void received(Link link, Frame frame) {
      frames.add(frame);
    }

    @Override
    public void closed(Link link, String reason) {}
  }

  @Test
  void startCancelsWorkOfPredecessor() {
    try (SidecarFixture fixture = new SidecarFixture(EngineSettings.defaults())) {
      InetSocketAddress engine = fixture.engine.address();
      byte[] body = fixture.chat("left over", 50_000, false).getBody().toByteArray();
      Thread leftOver =
          new Thread(
              () ->
                  http.exchange(
                      engine,
                      new HttpRequestMessage(
                          "POST", "/v1/chat/completions", ImmutableMap.of(), body),
                      60_000));
      leftOver.start();
      awaitJson(engine, "/load", load -> load.path("running").asInt() > 0);
      fixture.servingEntry();
      awaitJson(engine, "/load", load -> load.path("running").asInt() == 0);
    }
  }

  @Test
  void cancelEndsWorkAtEngine() {
    try (SidecarFixture fixture = new SidecarFixture(EngineSettings.defaults())) {
      FakeEntry entry = fixture.servingEntry();
      Submit.Builder chat = fixture.chat("long", 50_000, true);
      RequestRef ref = chat.getRequest();
      entry.submit(chat);
      awaitJson(fixture.engine.address(), "/load", load -> load.path("running").asInt() > 0);
      entry.send(Frame.newBuilder().setCancel(Cancel.newBuilder().setRequest(ref).setAttempt(1)));
      awaitJson(fixture.engine.address(), "/load", load -> load.path("running").asInt() == 0);
      awaitJson(fixture.sidecar.httpAddress(), "/status", s -> s.path("inFlight").asInt() == 0);
    }
  }

  @Test
  void lostAnswerOfHealthyUpstreamFailsWithMayHaveRun() {
    PlainStandin plain = PlainStandin.create(ANY_PORT, 0);
    try (SidecarFixture fixture = new SidecarFixture(plain, "register-app")) {
      FakeEntry entry = fixture.entry();
      entry.pushConfig(1, SidecarFixture.DECLARATION);
      awaitJson(fixture.sidecar.httpAddress(), "/status", s -> s.path("accepting").asBoolean());
      byte[] lose = "{\"loseAnswers\":1}".getBytes(StandardCharsets.UTF_8);
      http.exchange(
          plain.address(),
          new HttpRequestMessage("POST", "/admin", ImmutableMap.of(), lose),
          10_000);
      Submit.Builder call = fixture.submit("register-app", "x").setPath("/a");
      entry.submit(call);
      Failed failed = entry.outcome(call.getRequest(), 1).getFailed();
      assertThat(failed.getCode()).isEqualTo("ENGINE_ERROR");
      assertThat(failed.getVerdict()).isEqualTo(VerdictCode.MAY_HAVE_RUN);
    }
  }

  @Test
  void drainLimitFailsRunningRequest() throws Exception {
    EngineStandin engine = EngineStandin.create(ANY_PORT, EngineSettings.defaults());
    try (SidecarFixture fixture = new SidecarFixture(engine, "model-pool", 50)) {
      FakeEntry entry = fixture.servingEntry();
      Submit.Builder chat = fixture.chat("endless", 100_000, true);
      entry.submit(chat);
      entry.accepted(chat.getRequest());
      fixture.sidecar.drain();
      Failed failed = entry.outcome(chat.getRequest(), 1).getFailed();
      assertThat(failed.getCode()).isEqualTo("UPSTREAM_LOST");
      assertThat(failed.getVerdict()).isEqualTo(VerdictCode.MAY_HAVE_RUN);
    }
  }

  @Test
  void servesHealthAndMetrics() {
    try (SidecarFixture fixture = new SidecarFixture(EngineSettings.defaults())) {
      InetSocketAddress address = fixture.sidecar.httpAddress();
      assertThat(get(address, "/health/ready").status()).isEqualTo(503);
      assertThat(get(address, "/health/live").status()).isEqualTo(200);
      fixture.servingEntry();
      String text = new String(get(address, "/metrics").body(), StandardCharsets.UTF_8);
      assertThat(text).contains("tanagerbank_sidecar_submits_total{decision=\"run\"} 1.0");
      assertThat(text).contains("tanagerbank_sidecar_accepting 1.0");
      assertThat(get(address, "/nowhere").status()).isEqualTo(404);
    }
  }
}
