package org.tanagerbank.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tanagerbank.platformclient.SocketAddresses;

/**
 * An engine stand-in that runs as a separate process.
 *
 * <p>It listens on free ports that it selects itself, which differ between its starts: a port that
 * was free before the process starts can be taken by then. Thread-safe.
 */
final class EngineProcess implements AutoCloseable {
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);
  private static final long STOP_TIMEOUT_SECONDS = 6;
  private static final int STATUS_OK = 200;
  private static final String ANY_PORT = "127.0.0.1:0";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CONTROL_TIMEOUT).build();
  private final Settings settings;
  private Process process;
  private String id;
  private InetSocketAddress address;
  private String controlAddress;

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

  synchronized String id() {
    return id;
  }

  /** Waits until the process listens, and returns its address. */
  synchronized InetSocketAddress awaitAddress() throws IOException {
    if (address == null) {
      String line = process.inputReader().readLine();
      if (line == null) {
        throw new IOException("engine " + id + " ended before it listened");
      }
      JsonNode ready = MAPPER.readTree(line);
      controlAddress = ready.path("controlAddress").asText();
      address = SocketAddresses.parse(ready.path("address").asText());
    }
    return address;
  }

  /** Starts the process, which must have ended, under an id. */
  synchronized void launch(String nextId) throws IOException {
    id = nextId;
    address = null;
    ImmutableList.Builder<String> command = ImmutableList.builder();
    command.add(System.getProperty("java.home") + "/bin/java");
    command.add("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    command.add("-jar", "target/tanagerbank-all.jar", "standin", "direct-engine");
    command.add("--address", ANY_PORT, "--control-address", ANY_PORT);
    command.add("--id", id, "--seed", Long.toString(settings.seed()));
    command.add("--record", settings.record().toString());
    settings.options().forEach((name, value) -> command.add("--" + name, value.toString()));
    ProcessBuilder builder = new ProcessBuilder(command.build());
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(new File(settings.logs(), "engine-" + id + ".log")));
    process = builder.start();
  }

  /** Replaces the probabilities of the engine's faults. */
  void setFaults(String json) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + controlAddress() + "/control/faults"))
            .timeout(CONTROL_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != STATUS_OK) {
      throw new IOException("the engine did not accept the faults " + json + ": " + response);
    }
  }

  private synchronized String controlAddress() throws IOException {
    awaitAddress();
    return controlAddress;
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

  @Override
  public synchronized void close() {
    process.destroyForcibly();
  }
}
