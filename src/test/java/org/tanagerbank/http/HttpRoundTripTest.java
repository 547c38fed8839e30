package org.tanagerbank.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Guards the HTTP client and server against responses that are changed, cut off without an error or
 * buffered without limit, and against failed calls with a wrong verdict: one that claims that the
 * request did not run although it may have reached the server.
 */
final class HttpRoundTripTest {
  private static final InetSocketAddress FREE_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final int CHUNK_BYTES = 16 << 10;
  private static final int CHUNK_COUNT = 2_000;

  private final AsyncHttpServer server = AsyncHttpServer.create(FREE_PORT, 100_000, this::handle);
  private final AsyncHttpClient client = AsyncHttpClient.create(2_000);
  private final CompletableFuture<BodyWriter> stream = new CompletableFuture<>();
  private final CountDownLatch aborted = new CountDownLatch(1);
  private final AtomicLong maxPendingBytes = new AtomicLong();

  @BeforeEach
  void start() {
    server.start();
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    switch (request.pathOnly()) {
      case "/echo" -> exchange.respond(echo(request));
      case "/refuse" -> throw TanagerException.notRun(ErrorCode.OVERLOADED, "full", 1_001);
      case "/fault" -> throw new IllegalStateException("a fault");
      case "/drop" -> exchange.abort();
      case "/many" -> writeMany(exchange.beginStream(200, ImmutableMap.of()));
      default -> {
        exchange.onAbort(aborted::countDown);
        stream.complete(exchange.beginStream(200, ServerSentEvents.HEADERS));
      }
    }
  }

  private static HttpResponseMessage echo(HttpRequestMessage request) {
    String text =
        request.method()
            + " "
            + request.path()
            + " "
            + request.header("x-chat-id", "none")
            + " "
            + QueryString.of(request).text("q", "")
            + " ";
    byte[] body = (text + new String(request.body(), UTF_8)).getBytes(UTF_8);
    return new HttpResponseMessage(200, ImmutableMap.of("x-test", "yes"), body);
  }

  /** Writes a long body with at most a few chunks in the queue. */
  private void writeMany(BodyWriter out) {
    AtomicLong written = new AtomicLong();
    Runnable writeMore =
        () -> {
          while (written.get() < CHUNK_COUNT && out.pendingBytes() < 4L * CHUNK_BYTES) {
            byte[] chunk = new byte[CHUNK_BYTES];
            chunk[0] = (byte) written.getAndIncrement();
            out.write(chunk);
            maxPendingBytes.accumulateAndGet(out.pendingBytes(), Math::max);
          }
          if (written.get() == CHUNK_COUNT) {
            out.end();
          }
        };
    out.onProgress(writeMore);
    writeMore.run();
  }

  private static HttpRequestMessage message(String method, String path, String body) {
    return new HttpRequestMessage(
        method, path, ImmutableMap.of("X-Chat-Id", "c1", "Host", "x"), body.getBytes(UTF_8));
  }

  private HttpResponseMessage exchange(HttpRequestMessage request) {
    return client.exchange(server.address(), request, 20_000);
  }

  @Test
  void requestAndResponseArriveUnchanged() {
    for (String method : List.of("GET", "POST", "PUT", "DELETE", "PATCH")) {
      String body = method.startsWith("P") ? "b\u00f6dy" : "";
      HttpResponseMessage response = exchange(message(method, "/echo?q=a%20b", body));
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.headers()).containsEntry("x-test", "yes");
      assertThat(new String(response.body(), UTF_8))
          .isEqualTo(method + " /echo?q=a%20b c1 a b " + body);
    }
  }

  @Test
  void errorResponsesAreJsonWithRetryAfterRoundedUp() {
    HttpResponseMessage refused = exchange(message("GET", "/refuse", ""));
    assertThat(refused.status()).isEqualTo(503);
    assertThat(refused.headers()).containsEntry("retry-after", "2");
    assertThat(new String(refused.body(), UTF_8))
        .isEqualTo(
            "{\"error\":{\"code\":\"OVERLOADED\",\"message\":\"full\",\"verdict\":\"NOT_RUN\","
                + "\"retryAfterMillis\":1001}}");
    assertThat(exchange(message("GET", "/fault", "")).status()).isEqualTo(500);
  }

  @Test
  void tooLargeBodyIsRefusedAndTheConnectionStaysUsable() {
    HttpResponseMessage refused = exchange(message("POST", "/echo", "x".repeat(100_001)));
    assertThat(refused.status()).isEqualTo(413);
    assertThat(new String(refused.body(), UTF_8)).contains("BODY_TOO_LARGE");
    assertThat(exchange(message("POST", "/echo", "x".repeat(100_000))).status()).isEqualTo(200);
  }

  @Test
  void headAndEachChunkArriveBeforeTheEnd() throws Exception {
    RecordingListener listener = new RecordingListener();
    client.send(server.address(), message("GET", "/stream", ""), 1_000, listener);
    assertThat(listener.head.get(20, TimeUnit.SECONDS)).isEqualTo(200);
    BodyWriter out = stream.get(20, TimeUnit.SECONDS);
    out.write(ServerSentEvents.data("one"));
    listener.awaitData();
    assertThat(listener.outcome.isDone()).isFalse();
    out.write(ServerSentEvents.data("two"));
    out.end();
    assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
    assertThat(new String(listener.body(), UTF_8)).isEqualTo("data: one\n\ndata: two\n\n");
  }

  @Test
  void connectTimeoutDoesNotAbortASilentResponse() throws Exception {
    AsyncHttpClient shortTimeoutClient = AsyncHttpClient.create(50);
    shortTimeoutClient.start();
    RecordingListener listener = new RecordingListener();
    shortTimeoutClient.send(server.address(), message("GET", "/stream", ""), 1_000, listener);
    BodyWriter out = stream.get(20, TimeUnit.SECONDS);
    long startNanos = System.nanoTime();
    RecordingListener.await(
        "the connect timeout has passed several times and the reactor has checked it",
        () -> System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(1_500));
    out.end();
    assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
    shortTimeoutClient.stop();
  }

  @Test
  void slowReaderLimitsReceivedAndQueuedBytes() throws Exception {
    RecordingListener listener = new RecordingListener();
    HttpCall call =
        client.send(server.address(), message("GET", "/many", ""), CHUNK_BYTES, listener);
    listener.awaitData();
    int grantedBytes = CHUNK_BYTES;
    int total = CHUNK_BYTES * CHUNK_COUNT;
    while (grantedBytes < total) {
      int expectedBytes = Math.min(grantedBytes, total);
      RecordingListener.await("the credit is exhausted", () -> listener.length() >= expectedBytes);
      assertThat(listener.length()).isAtMost(grantedBytes + (16 << 10));
      grantedBytes += 4 << 20;
      call.addCredit(4 << 20);
    }
    assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end");
    assertThat(maxPendingBytes.get()).isAtMost(5L * CHUNK_BYTES);
    byte[] body = listener.body();
    assertThat(body).hasLength(total);
    for (int i = 0; i < CHUNK_COUNT; i++) {
      assertThat(body[i * CHUNK_BYTES]).isEqualTo((byte) i);
    }
  }

  @Test
  void cancelIsReportedToTheServerAndTheListener() throws Exception {
    RecordingListener listener = new RecordingListener();
    HttpCall call = client.send(server.address(), message("GET", "/stream", ""), 100, listener);
    stream.get(20, TimeUnit.SECONDS);
    call.cancel();
    assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("may have run");
    assertThat(aborted.await(20, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void cancelEndsACallThatWaitsForCredit() throws Exception {
    RecordingListener listener = new RecordingListener();
    HttpCall call = client.send(server.address(), message("GET", "/many", ""), 1, listener);
    listener.awaitData();
    call.cancel();
    assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("may have run");
  }

  @Test
  void requestWithoutConnectionHasNotRun() throws Exception {
    List<SocketChannel> fillers = new ArrayList<>();
    try (ServerSocket socket = new ServerSocket(0, 1, server.address().getAddress())) {
      InetSocketAddress fullServer = (InetSocketAddress) socket.getLocalSocketAddress();
      // These connections are never accepted, so they fill the backlog. The kernel then does not
      // answer further connection attempts.
      for (int i = 0; i < 4; i++) {
        fillers.add(SocketChannel.open());
        fillers.get(i).configureBlocking(false);
        fillers.get(i).connect(fullServer);
      }
      RecordingListener timedOut = new RecordingListener();
      client.send(fullServer, message("POST", "/echo", "x"), 1, timedOut);
      RecordingListener cancelled = new RecordingListener();
      client.send(fullServer, message("POST", "/echo", "x"), 1, cancelled).cancel();
      assertThat(cancelled.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("not run");
      assertThat(timedOut.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("not run");
    } finally {
      for (SocketChannel filler : fillers) {
        filler.close();
      }
    }
  }

  @Test
  void responseWithoutBodyLeavesTheConnectionUsable() {
    for (int i = 0; i < 3; i++) {
      HttpResponseMessage response = exchange(message("HEAD", "/echo", ""));
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body()).isEmpty();
    }
  }

  @Test
  void abortedStreamIsReportedAsFailure() throws Exception {
    RecordingListener listener = new RecordingListener();
    client.send(server.address(), message("GET", "/stream", ""), 100, listener);
    BodyWriter out = stream.get(20, TimeUnit.SECONDS);
    out.write(ServerSentEvents.data("one"));
    listener.awaitData();
    out.abort();
    assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("may have run");
  }

  /** Without a length or chunks, a response that was broken off ends as a whole one does. */
  @Test
  void endOfAResponseWithoutLengthIsToldApart() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
      RecordingListener listener = new RecordingListener();
      client.send(address, message("GET", "/", ""), Integer.MAX_VALUE, listener);
      try (Socket accepted = socket.accept()) {
        accepted.getInputStream().read();
        accepted.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nbody".getBytes(UTF_8));
        accepted.shutdownOutput();
        assertThat(listener.outcome.get(20, TimeUnit.SECONDS)).isEqualTo("end with connection");
      }
    }
  }

  @Test
  void requestMayHaveRunIfTheConnectionIsDroppedButNotIfItIsRefused() throws Exception {
    TanagerException dropped =
        assertThrows(TanagerException.class, () -> exchange(message("POST", "/drop", "x")));
    assertThat(dropped.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0)) {
      closedPort = socket.getLocalPort();
    }
    InetSocketAddress closed = new InetSocketAddress("127.0.0.1", closedPort);
    TanagerException refused =
        assertThrows(
            TanagerException.class,
            () -> client.exchange(closed, message("POST", "/echo", "x"), 20_000));
    assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(refused.code()).isEqualTo(ErrorCode.PLATFORM_ERROR);
  }

  @Test
  void requestMayHaveRunIfTheExchangeTimesOut() {
    TanagerException timeout =
        assertThrows(
            TanagerException.class,
            () -> client.exchange(server.address(), message("POST", "/stream", ""), 50));
    assertThat(timeout.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
  }

  @Test
  void portInUseIsReportedWithTheAddress() {
    AsyncHttpServer second = AsyncHttpServer.create(server.address(), 1, this::handle);
    TanagerException failure = assertThrows(TanagerException.class, second::start);
    assertThat(failure.code()).isEqualTo(ErrorCode.PORT_IN_USE);
    assertThat(failure).hasMessageThat().contains("127.0.0.1:" + server.address().getPort());
  }

  @Test
  void thousandOpenStreamsShareTheIoThreads() throws Exception {
    int before = Thread.activeCount();
    List<RecordingListener> listeners = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      RecordingListener listener = new RecordingListener();
      listeners.add(listener);
      client.send(server.address(), message("GET", "/stream", ""), 100, listener);
    }
    for (RecordingListener listener : listeners) {
      assertThat(listener.head.get(20, TimeUnit.SECONDS)).isEqualTo(200);
    }
    assertThat(Thread.activeCount()).isAtMost(before + 20);
  }
}
