package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.tanagerbank.platform.standin.StoreStandin;

/**
 * Runs the gateway as a separate process with test doubles of the platform's store and an upstream.
 *
 * <p>Guards against a binary that does not start, serve, reload its settings on SIGHUP, stop on
 * SIGTERM or reject a revoked key, and against signals that cut off requests or go unnoticed while
 * the process starts or stops.
 */
@Timeout(120)
final class GatewayIT {
  /** Extra JVM flags, set by the script that lists the classes that a gateway loads. */
  private static final String JVM_FLAGS = System.getProperty("tanagerbank.gateway.flags", "");

  /** The log of the process under test. */
  private static final Path LOG = Path.of("target/process-logs/gateway.log");

  /** Interval between looks at the log, in which the time limit of a test can interrupt it. */
  private static final long WAIT_MILLIS = 10;

  private final CountDownLatch heldAnswers = new CountDownLatch(1);
  @TempDir private Path folder;
  private StoreStandin store;
  private ScriptedUpstream upstream;
  private Process process;
  private int callerPort;
  private int readyPort;
  private int metricsPort;

  @BeforeEach
  void start() throws IOException {
    store = StoreStandin.onLoopback(/* pageItems= */ 2);
    store.start();
    upstream = new ScriptedUpstream(this::answer);
    callerPort = freePort();
    readyPort = freePort();
    store.put("keyed.op", "config", Optional.of(config().getBytes(UTF_8)));
    store.put("keyed.servers", "i-1", Optional.of(report().getBytes(UTF_8)));
    Files.writeString(folder.resolve("node.json"), settings());
    process = launch();
  }

  @AfterEach
  void stop() throws IOException {
    process.destroyForcibly();
    upstream.close();
    store.stop();
  }

  private Process launch() throws IOException {
    File logs = new File("target/process-logs");
    logs.mkdirs();
    List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
    JVM_FLAGS.lines().flatMap(l -> List.of(l.split(" ")).stream()).forEach(command::add);
    command.removeIf(String::isEmpty);
    metricsPort = freePort();
    command.addAll(List.of("-Xmx48m", "-jar", "target/tanagerbank-all.jar", "gateway"));
    command.addAll(List.of("--metrics-port", Integer.toString(metricsPort)));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("TANAGERBANK_NODE_FILE", folder.resolve("node.json").toString());
    builder.redirectError(new File(logs, "gateway.err"));
    builder.redirectOutput(new File(logs, "gateway.log"));
    return builder.start();
  }

  private String answer(String request) {
    if (request.startsWith("GET /p/held")) {
      Uninterruptibles.awaitUninterruptibly(heldAnswers);
    }
    String id = ScriptedUpstream.requestId(request);
    String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n";
    if (request.startsWith("GET")) {
      return head + "Server-Load: 1,0,8\r\nContent-Length: 5\r\n\r\nhello";
    }
    String event = "id: 1\ndata: x\n\n";
    return head
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(event.length())
        + "\r\n"
        + event
        + "\r\n0\r\n\r\n";
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static int freeUdpPort() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private String settings() throws IOException {
    int peerPort = freeUdpPort();
    return "{\"node\":\"g-1\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"port-range\":["
        + peerPort
        + ","
        + peerPort
        + "],\"listen\":{\"front\":\"127.0.0.1:"
        + callerPort
        + "\",\"ready\":\"127.0.0.1:"
        + readyPort
        + "\"},\"platform\":{\"addr\":\"127.0.0.1:"
        + store.address().getPort()
        + "\"},\"bounds\":{\"drain-ms\":2000,\"config-ms\":2000,\"revoke-ms\":5000,"
        + "\"grace-s\":8,\"stable-ms\":3000,\"retry-ratio\":0.2,\"retry-window-s\":10,"
        + "\"retry-slack\":54,\"cap-x\":2}}";
  }

  private String report() {
    return "{\"service\":\"s\",\"addr\":\"127.0.0.1:"
        + upstream.address().getPort()
        + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
        + "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1}";
  }

  private static String config() {
    return "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/p/\","
        + "\"type\":\"idempotent\",\"timeout-ms\":5000,\"slo-ms\":500,\"service\":\"s\","
        + "\"attempts\":2},{\"name\":\"q\",\"host\":\"h\",\"path-prefix\":\"/q/\","
        + "\"type\":\"stream\",\"timeout-ms\":5000,\"slo-ms\":500,\"service\":\"s\","
        + "\"attempts\":1}],\"services\":[{\"name\":\"s\",\"max-conns\":10,"
        + "\"engine\":{\"slots\":8,\"kv-capacity\":10000}}],"
        + "\"tenants\":[{\"name\":\"w\",\"api-keys\":[\"key\"]}]}";
  }

  private String send(int port, String request) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(request.getBytes(ISO_8859_1));
      return GatewayFixture.readToEnd(socket.getInputStream());
    } catch (IOException e) {
      return "";
    }
  }

  private String get(String path) {
    return GatewayFixture.request("GET", path, "r1", "Connection: close\r\n");
  }

  private void awaitReady() {
    while (!send(readyPort, get("/ready")).startsWith("HTTP/1.1 200")) {
      assertThat(process.isAlive()).isTrue();
      Thread.yield();
    }
  }

  @Test
  void servesReloadsAndStops() throws IOException, InterruptedException {
    awaitReady();
    assertThat(send(callerPort, get("/p/x"))).endsWith("hello");
    String stream =
        GatewayFixture.request(
                "POST",
                "/q/x",
                "r2",
                "Connection: close\r\nModel: m\r\nToken-Counts: 1460,80\r\n"
                    + "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nContent-Length: 3\r\n")
            + "abc";
    assertThat(send(callerPort, stream)).contains("data: x");
    assertThat(send(callerPort, get("/none/x"))).startsWith("HTTP/1.1 404");
    assertThat(send(metricsPort, get("/metrics"))).contains("tanagerbank_gateway_requests_total");
    assertThat(send(callerPort, "nonsense\r\n\r\n")).startsWith("HTTP/1.1 400");
    signal("HUP");
    process.destroy();
    assertThat(process.waitFor()).isEqualTo(0);
    String log = Files.readString(LOG);
    assertThat(log).contains("SETTINGS_RELOADED");
    assertThat(log).contains("PROCESS_STOPPED");
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Sends signals one after the other, each when the one before it is logged. */
  private void signalInTurn(String... names) throws IOException, InterruptedException {
    for (int i = 0; i < names.length; i++) {
      signal(names[i]);
      while (Files.readString(LOG).split("SIGNAL_RECEIVED", -1).length < i + 2) {
        assertThat(process.waitFor(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isFalse();
      }
    }
  }

  @Test
  void signalsDuringStopCutOffNoRequest() throws IOException, InterruptedException {
    awaitReady();
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(() -> send(callerPort, get("/p/held")));
    while (upstream.requests().stream().noneMatch(r -> r.startsWith("GET /p/held"))) {
      assertThat(process.waitFor(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isFalse();
    }
    signalInTurn("TERM", "HUP", "TERM", "INT", "HUP", "TERM");
    heldAnswers.countDown();
    assertThat(answer.join()).endsWith("hello");
    assertThat(process.waitFor()).isEqualTo(0);
    String log = Files.readString(LOG);
    assertThat(log).contains("PROCESS_STOPPED");
    assertThat(log.split("PROCESS_STOPPING", -1)).hasLength(2);
  }

  @Test
  void signalsDuringStartStopTheProcessOnce() throws IOException, InterruptedException {
    while (send(readyPort, get("/ready")).isEmpty()) {
      assertThat(process.isAlive()).isTrue();
    }
    signalInTurn("HUP", "INT", "TERM", "HUP", "INT");
    assertThat(process.waitFor()).isEqualTo(0);
    assertThat(Files.readString(LOG)).contains("PROCESS_STOPPED");
  }

  @Test
  void revokedKeyStopsWorking() {
    awaitReady();
    assertThat(send(callerPort, get("/p/x"))).startsWith("HTTP/1.1 200");
    String configWithoutKey =
        config().replace("\"version\":1", "\"version\":3").replace("\"key\"", "");
    store.put("keyed.op", "config", Optional.of(configWithoutKey.getBytes(UTF_8)));
    while (!send(callerPort, get("/p/x")).startsWith("HTTP/1.1 401")) {
      assertThat(process.isAlive()).isTrue();
    }
  }
}
