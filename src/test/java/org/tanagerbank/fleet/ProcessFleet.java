package org.tanagerbank.fleet;

import static com.google.common.base.Preconditions.checkState;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs processes of the built binary on loopback and kills them when it is closed.
 *
 * <p>The standard error of each process goes to its own log file. Not thread-safe.
 */
final class ProcessFleet implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final HttpClient HTTP_CLIENT =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();

  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final File logDirectory = new File("target/process-logs");

  ProcessFleet() {
    checkState(
        logDirectory.isDirectory() || logDirectory.mkdirs(),
        "cannot create the log directory %s",
        logDirectory);
  }

  /**
   * Starts a process, waits until it is ready, and returns the JSON line that it then prints.
   *
   * @param name names the process in later calls, and its log file
   */
  JsonNode start(String name, String... args) {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("tanagerbank.binary"));
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("TANAGERBANK_JAVA_OPTS", "-XX:+UseSerialGC -Xmx128m");
    builder.redirectError(new File(logDirectory, name + ".log"));
    try {
      Process process = builder.start();
      processes.put(name, process);
      BufferedReader stdout =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String line = stdout.readLine();
      checkState(
          line != null,
          "process %s exited before it printed its ready line; see its log file",
          name);
      return MAPPER.readTree(line);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs a command, waits until it exits and returns its exit status. */
  int run(String name, String... args) throws InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("tanagerbank.binary"));
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true).redirectOutput(new File(logDirectory, name + ".log"));
    try {
      return builder.start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Kills a process, which has the effect of a failed instance. */
  void kill(String name) {
    processes.get(name).destroyForcibly();
  }

  /** Stops a process with SIGTERM, as a platform does, and returns its exit status. */
  int stop(String name) throws InterruptedException {
    Process process = processes.get(name);
    process.destroy();
    return process.waitFor();
  }

  /** Sends a signal, such as {@code HUP}, to a process of this fleet. */
  void signal(String name, String signal) throws InterruptedException {
    String pid = Long.toString(processes.get(name).pid());
    try {
      new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Sends an HTTP request and returns the response.
   *
   * @param address the host and port of the server
   * @param headers names and values in turn
   */
  static HttpResponse<String> sendHttp(
      String method, String address, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(30))
            .method(method, BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      return HTTP_CLIENT.send(request.build(), BodyHandlers.ofString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /**
   * Waits until a condition holds, and fails if it does not hold within a minute.
   *
   * @param description the condition in words, for the message of the failure
   */
  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      checkState(
          System.nanoTime() < deadlineNanos,
          "condition does not hold after a minute: %s",
          description);
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
  }
}
