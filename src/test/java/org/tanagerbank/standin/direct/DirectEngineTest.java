package org.tanagerbank.standin.direct;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerbank.http.RecordingListener;
import org.tanagerbank.platform.PlatformEngineHeaderCodec;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.standin.direct.RawCaller.Received;

/** Guards against faults that do not reach the wire, and records that do not tell what ran. */
final class DirectEngineTest {
  private static final int MAX_CONNECTIONS = 4;
  private static final int IDLE_TIMEOUT_MILLIS = 1_000;
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final String STREAM = "Token-Counts: 100,10";

  private final List<RunRecord> records = new CopyOnWriteArrayList<>();
  private DirectEngine engine;

  @BeforeEach
  void start() {
    start(DirectEngineSettings.Trouble.NONE);
  }

  private void start(DirectEngineSettings.Trouble trouble) {
    engine =
        DirectEngine.create(
            new DirectEngineSettings(
                "i-1",
                1,
                "/healthz",
                new DirectEngineSettings.Limits(2, 1, MAX_CONNECTIONS, 1_000),
                new DirectEngineSettings.Speed(2, 100, 4, 10),
                trouble,
                IDLE_TIMEOUT_MILLIS,
                0),
            ANY_PORT,
            ANY_PORT,
            new PlatformEngineHeaderCodec(),
            records::add);
    engine.start();
  }

  @AfterEach
  void stop() {
    engine.stop();
  }

  @Test
  void plainResponseAndRecordNameTheRequest() throws IOException {
    try (RawCaller caller = call()) {
      Received response = caller.request("r1", "Deadline-Ms: 900").response();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body())
          .isEqualTo(ExpectedResponse.plainBody("r1", response.body().length()));
      assertThat(response.head()).contains("Request-Id: r1\r\n");
      assertThat(response.head())
          .contains("Server-Stamp: " + ExpectedResponse.signature("r1", 200) + "\r\n");
      assertThat(response.head()).contains("Server-Load: 0,0,2\r\n");
      assertThat(response.head()).contains("Keep-Alive: timeout=1\r\n");
    }
    awaitEvents("r1", RunEvent.ARRIVED, RunEvent.BEGAN, RunEvent.ENDED);
    assertThat(records.get(0).deadlineMillis()).isEqualTo(900);
    assertThat(records.get(2).complete()).isTrue();
  }

  @Test
  void streamContainsEachEventAndResumes() throws IOException {
    try (RawCaller caller = call()) {
      String whole = caller.request("r1", STREAM).response().body();
      for (int number = 1; number <= 3; number++) {
        assertThat(whole).contains(ExpectedResponse.event("r1", number));
      }
      String rest = caller.request("r1", STREAM, "Last-Event-Id: 2").response().body();
      assertThat(rest).doesNotContain(ExpectedResponse.event("r1", 2));
      assertThat(rest).contains(ExpectedResponse.event("r1", 3));
    }
  }

  @Test
  void engineInNeedNamesItsLimitInAnswersAndRefusals() throws IOException {
    engine.stop();
    start(new DirectEngineSettings.Trouble(2.5, 0));
    try (RawCaller caller = call()) {
      assertThat(caller.request("r1").response().head()).contains("Server-Limit: 2.5\r\n");
      Received refusal = caller.request("r2", "Expect-Instance: i-9").response();
      assertThat(refusal.status()).isEqualTo(421);
      assertThat(refusal.head()).contains("Server-Limit: 2.5\r\n");
    }
    awaitEvents("r1", RunEvent.ARRIVED, RunEvent.BEGAN, RunEvent.ENDED);
    assertThat(records.get(2).limit()).isEqualTo(2.5);
  }

  @Test
  void engineEndsWhenItBeginsARequestWithItsDeadlyPart() throws IOException {
    engine.stop();
    start(new DirectEngineSettings.Trouble(0, 0xab));
    try (RawCaller caller = call()) {
      String sound = "Prompt-Prefix: 1:50,ab:50";
      assertThat(caller.request("r1", STREAM, sound).response().status()).isEqualTo(200);
      caller.request("r2", STREAM, "Prompt-Prefix: 1:50,ab:20,2:30");
      assertThrows(IOException.class, caller::response);
    }
    awaitEvents("r2", RunEvent.ARRIVED, RunEvent.BEGAN, RunEvent.FAULT);
    assertThrows(IOException.class, this::call);
  }

  @ParameterizedTest
  @CsvSource({
    "errorStatus, 500, ENDED",
    "unmarkedRefusal, 503, ENDED",
    "unmarkedMisdirect, 421, REFUSED"
  })
  void responseWithoutMarkHasTheStatusOfItsFault(String fault, int status, RunEvent end)
      throws IOException {
    inject(fault);
    try (RawCaller caller = call()) {
      Received response = caller.request("r1").response();
      assertThat(response.status()).isEqualTo(status);
      assertThat(response.has("Not-Executed")).isFalse();
    }
    RecordingListener.await("the end", () -> events("r1").contains(end));
    assertThat(events("r1").contains(RunEvent.BEGAN)).isEqualTo(end == RunEvent.ENDED);
  }

  @ParameterizedTest
  @CsvSource({
    "foreignRefusal, 503, r0, true",
    "foreignSuccess, 200, r0, false",
    "unnamedRefusal, 503, , true"
  })
  void responseOfAnotherRequestPrecedesTheOwn(
      String fault, int status, String otherId, boolean isMarked) throws IOException {
    try (RawCaller caller = call()) {
      caller.request("r0").response();
      inject(fault);
      Received foreign = caller.request("r1").response();
      assertThat(foreign.status()).isEqualTo(status);
      assertThat(foreign.has("Not-Executed")).isEqualTo(isMarked);
      assertThat(foreign.has("Request-Id")).isEqualTo(otherId != null);
      assertThat(foreign.head().contains("Request-Id: r0\r\n")).isEqualTo(otherId != null);
      assertThat(caller.response().head()).contains("Request-Id: r1\r\n");
    }
  }

  @ParameterizedTest
  @CsvSource({"doubledRefusal, Expect-Instance: i-2", "doubledResponse, A: b"})
  void responseIsRepeated(String fault, String header) throws IOException {
    inject(fault);
    try (RawCaller caller = call()) {
      Received first = caller.request("r1", header).response();
      assertThat(caller.response()).isEqualTo(first);
    }
  }

  @ParameterizedTest
  @CsvSource({"cutResponse, HTTP/1.1 200", "garbledResponse, garbled", "lostAnswer, ''"})
  void connectionEndsWithoutTheWholeResponse(String fault, String expected) throws IOException {
    inject(fault);
    try (RawCaller caller = call()) {
      String received = caller.request("r1", STREAM).readToEnd();
      // A reset may overtake the bytes that were sent before it.
      assertThat(received.contains(expected) || received.equals("(reset)")).isTrue();
      assertThat(received).doesNotContain("\r\n0\r\n\r\n");
    }
    RecordingListener.await("the end", () -> events("r1").contains(RunEvent.ENDED));
    assertThat(events("r1")).doesNotContain(RunEvent.DROPPED);
    assertThat(records.get(records.size() - 1).complete()).isFalse();
  }

  @Test
  void bodyOfAnEarlyRefusalIsReadAsPartOfNoRequest() throws IOException {
    inject("earlyRefusal");
    try (RawCaller caller = call()) {
      String smuggled = RawCaller.head("smuggled") + "\r\n";
      caller.send(RawCaller.head("r1", "Content-Length: " + smuggled.length()) + "\r\n");
      Received refusal = caller.response();
      assertThat(refusal.status()).isEqualTo(503);
      assertThat(refusal.has("Not-Executed")).isTrue();
      engine.setFaults(EngineFaults.NONE);
      assertThat(caller.send(smuggled).request("r2").response().head()).contains("Id: r2\r\n");
    }
    assertThat(events("r1"))
        .containsExactly(RunEvent.ARRIVED, RunEvent.FAULT, RunEvent.REFUSED)
        .inOrder();
    assertThat(events("smuggled")).isEmpty();
  }

  @Test
  void hangingRequestEndsWhenItsCallerLeaves() throws IOException {
    inject("hang");
    try (RawCaller caller = call()) {
      caller.request("r1");
      awaitEvents("r1", RunEvent.ARRIVED, RunEvent.BEGAN, RunEvent.FAULT);
    }
    awaitEvents("r1", RunEvent.ARRIVED, RunEvent.BEGAN, RunEvent.FAULT, RunEvent.DROPPED);
  }

  @Test
  void deadlineOfARunGivesTimeoutWithoutMark() throws IOException {
    try (RawCaller caller = call()) {
      Received response =
          caller.request("r1", "Token-Counts: 900,90", "Deadline-Ms: 12").response();
      assertThat(response.status()).isEqualTo(504);
      assertThat(response.has("Not-Executed")).isFalse();
      assertThat(response.has("Server-Stamp")).isTrue();
    }
  }

  @Test
  void connectionsBeyondTheLimitAreClosed() throws IOException {
    try (RawCaller a = call();
        RawCaller b = call();
        RawCaller c = call();
        RawCaller d = call()) {
      // A response proves that the connection was accepted.
      for (RawCaller caller : ImmutableList.of(a, b, c, d)) {
        assertThat(caller.request("r").response().status()).isEqualTo(200);
      }
      try (RawCaller beyond = call()) {
        assertThat(beyond.readToEnd()).isEqualTo("(reset)");
      }
    }
  }

  @Test
  void idleConnectionIsClosedAfterTheTimeout() throws IOException {
    try (RawCaller caller = call()) {
      caller.request("r1").response();
      assertThat(caller.readToEnd()).isEmpty();
    }
  }

  @Test
  void drainingEngineServesWithConnectionClose() throws Exception {
    engine.drain();
    try (RawCaller caller = call()) {
      Received response = caller.request("r1").response();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.head()).contains("connection: close\r\n");
      assertThat(caller.readToEnd()).isEmpty();
    }
  }

  @Test
  void healthCheckNamesTheInstance() throws IOException {
    try (RawCaller caller = call()) {
      Received response = caller.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").response();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.head()).contains("Instance-Id: i-1\r\n");
    }
  }

  @Test
  void controlCallsReplaceFaultsAndRejectUnknownOnes() throws Exception {
    HttpResponse<String> accepted = control("/control/faults", "{\"errorStatus\": 1}");
    assertThat(accepted.statusCode()).isEqualTo(200);
    try (RawCaller caller = call()) {
      assertThat(caller.request("r1").response().status()).isEqualTo(500);
    }
    HttpResponse<String> rejected = control("/control/faults", "{\"errorStatuss\": 1}");
    assertThat(rejected.statusCode()).isEqualTo(400);
    assertThat(rejected.body()).contains("errorStatuss");
    assertThat(control("/control/faults", "{\"hang\": 2}").body()).contains("hang must be from 0");
  }

  private RawCaller call() throws IOException {
    return new RawCaller(engine.address());
  }

  private void inject(String fault) {
    engine.setFaults(EngineFaults.parse(("{\"" + fault + "\": 1}").getBytes(UTF_8)));
  }

  private HttpResponse<String> control(String path, String body) throws Exception {
    URI uri = URI.create("http://" + SocketAddresses.format(engine.controlAddress()) + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  private ImmutableList<RunEvent> events(String requestId) {
    return records.stream()
        .filter(r -> r.request().equals(requestId))
        .map(RunRecord::event)
        .collect(toImmutableList());
  }

  private void awaitEvents(String requestId, RunEvent... expected) {
    RecordingListener.await(
        "the events of " + requestId,
        () -> events(requestId).equals(ImmutableList.copyOf(expected)));
  }
}
