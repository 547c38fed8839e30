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

/** Starts separate processes of the built binary on loopback and ends them with the test. */
final class ProcessFleet implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final HttpClient HTTP =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();

  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final File logs = new File("target/process-logs");

  ProcessFleet() {
    checkState(logs.isDirectory() || logs.mkdirs(), "cannot create %s", logs);
  }

  /** Starts a process and returns the line it prints when it is ready. */
  JsonNode start(String name, String... args) {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("tanagerbank.binary"));
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("TANAGERBANK_JAVA_OPTS", "-XX:+UseSerialGC -Xmx128m");
    builder.redirectError(new File(logs, name + ".log"));
    try {
      Process process = builder.start();
      processes.put(name, process);
      BufferedReader out =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String line = out.readLine();
      checkState(line != null, "%s ended before it was ready; see its log", name);
      return MAPPER.readTree(line);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs a command to its end and returns its exit status. */
  int run(String name, String... args) throws InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("tanagerbank.binary"));
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true).redirectOutput(new File(logs, name + ".log"));
    try {
      return builder.start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Ends a process at once, as a failed machine would. */
  void kill(String name) {
    processes.get(name).destroyForcibly();
  }

  /** Asks a process to stop as a platform does, and returns its exit status. */
  int stop(String name) throws InterruptedException {
    Process process = processes.get(name);
    process.destroy();
    return process.waitFor();
  }

  /** Sends a signal to a process of this fleet. */
  void signal(String name, String signal) throws InterruptedException {
    String pid = Long.toString(processes.get(name).pid());
    try {
      new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sends an HTTP request and returns the response. */
  static HttpResponse<String> http(
      String method, String address, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(30))
            .method(method, BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      return HTTP.send(request.build(), BodyHandlers.ofString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Waits until a condition holds and fails when it does not within a minute. */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + DEADLINE_NANOS;
    while (!condition.getAsBoolean()) {
      checkState(System.nanoTime() < end, "not reached within a minute: %s", what);
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
  }
}
