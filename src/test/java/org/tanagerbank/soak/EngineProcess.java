package org.tanagerbank.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** An engine stand-in that runs as a separate process and keeps its ports. Thread-safe. */
final class EngineProcess implements AutoCloseable {
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);
  private static final long STOP_TIMEOUT_SECONDS = 6;
  private static final int STATUS_OK = 200;

  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CONTROL_TIMEOUT).build();
  private final Settings settings;
  private final int port = freePort();
  private final int controlPort = freePort();
  private Process process;
  private String id;

  /**
   * The settings of an engine.
   *
   * @param options the options of the stand-in that do not differ between its starts
   * @param record the file that all engines append their events to
   * @param logs the folder of the processes' output
   */
  record Settings(long seed, ImmutableMap<String, Integer> options, Path record, File logs) {}

  EngineProcess(String id, Settings settings) throws IOException {
    this.settings = settings;
    launch(id);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  synchronized String id() {
    return id;
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Starts the process, which must have ended, under an id. */
  synchronized void launch(String nextId) throws IOException {
    id = nextId;
    ImmutableList.Builder<String> command = ImmutableList.builder();
    command.add(System.getProperty("java.home") + "/bin/java");
    command.add("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    command.add("-jar", "target/tanagerbank-all.jar", "standin", "direct-engine");
    command.add("--address", "127.0.0.1:" + port, "--control-address", "127.0.0.1:" + controlPort);
    command.add("--id", id, "--seed", Long.toString(settings.seed()));
    command.add("--record", settings.record().toString());
    settings.options().forEach((name, value) -> command.add("--" + name, value.toString()));
    ProcessBuilder builder = new ProcessBuilder(command.build());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(new File(settings.logs(), "engine-" + id + ".log")));
    process = builder.start();
  }

  /** Replaces the probabilities of the engine's faults. */
  void setFaults(String json) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + controlPort + "/control/faults"))
            .timeout(CONTROL_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != STATUS_OK) {
      throw new IOException("the engine did not accept the faults " + json + ": " + response);
    }
  }

  synchronized void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Ends the process with SIGTERM, and kills it if it does not drain in time. */
  synchronized void terminate() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }

  synchronized boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public synchronized void close() {
    process.destroyForcibly();
  }
}
