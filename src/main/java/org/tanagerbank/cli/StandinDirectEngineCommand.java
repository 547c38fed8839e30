package org.tanagerbank.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.Json;
import org.tanagerbank.platform.PlatformEngineHeaderCodec;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.standin.direct.DirectEngine;
import org.tanagerbank.standin.direct.DirectEngineSettings;
import org.tanagerbank.standin.direct.EngineFaults;
import org.tanagerbank.standin.direct.RunRecord;
import org.tanagerbank.standin.direct.RunRecordFile;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs the stand-in of an engine that gateways call directly.
 *
 * <p>SIGTERM drains the engine and ends the process with status 0. Not thread-safe.
 */
final class StandinDirectEngineCommand implements Command {
  private static final String NAME = "standin-direct-engine";

  @Option(name = "--address", metaVar = "IP:PORT", usage = "address for gateways; port 0: any")
  private String address = "127.0.0.1:0";

  @Option(name = "--control-address", metaVar = "IP:PORT", usage = "address for control calls")
  private String controlAddress = "127.0.0.1:0";

  @Option(name = "--id", usage = "instance id of the engine")
  private String id = "i-1";

  @Option(name = "--seed", usage = "seed of the random choices")
  private long seed = 1;

  @Option(name = "--record", metaVar = "FILE", usage = "file to append what happens to requests")
  private String record = "";

  @Option(name = "--slots", usage = "number of requests that run at a time")
  private int slots = 64;

  @Option(name = "--queue", usage = "number of requests that wait")
  private int queue = 192;

  @Option(name = "--max-connections", usage = "number of open connections")
  private int maxConnections = 360;

  @Option(name = "--memory-tokens", usage = "tokens that the memory holds")
  private long memoryTokens = 314_968;

  @Option(name = "--step-millis", usage = "duration of a step, which generates one token")
  private long stepMillis = 5;

  @Option(name = "--prefill-tokens-per-milli", usage = "prompt tokens read per millisecond")
  private int prefillTokensPerMilli = 38;

  @Option(name = "--tokens-per-event", usage = "tokens in an event of a stream")
  private int tokensPerEvent = 4;

  @Option(name = "--work-millis", usage = "mean duration of a request without a prompt")
  private long workMillis = 20;

  @Option(name = "--idle-timeout-millis", usage = "time until an idle connection is closed")
  private long idleTimeoutMillis = 5_000;

  @Option(name = "--drain-millis", usage = "how long the engine serves on after SIGTERM")
  private long drainMillis = 2_000;

  @Option(name = "--request-limit", usage = "requests a second named as limit; 0: none")
  private double requestLimit;

  @Option(name = "--deadly-part", usage = "id of the prompt part that ends the engine; 0: none")
  private long deadlyPart;

  @Option(name = "--health-path", usage = "path of the health check")
  private String healthPath = "/healthz";

  @Option(name = "--faults", metaVar = "FILE", usage = "JSON file with the faults to inject")
  private String faultsFile = "";

  private EngineFaults faults = EngineFaults.NONE;

  @Override
  public void validate(List<String> invalid) {
    checkAddress(invalid, "--address", address);
    checkAddress(invalid, "--control-address", controlAddress);
    StandinCommand.checkAtLeast(invalid, "--slots", slots, 1);
    StandinCommand.checkAtLeast(invalid, "--queue", queue, 0);
    StandinCommand.checkAtLeast(invalid, "--max-connections", maxConnections, 1);
    StandinCommand.checkAtLeast(invalid, "--memory-tokens", memoryTokens, 1);
    StandinCommand.checkAtLeast(invalid, "--step-millis", stepMillis, 1);
    StandinCommand.checkAtLeast(invalid, "--prefill-tokens-per-milli", prefillTokensPerMilli, 1);
    StandinCommand.checkAtLeast(invalid, "--tokens-per-event", tokensPerEvent, 1);
    StandinCommand.checkAtLeast(invalid, "--work-millis", workMillis, 0);
    StandinCommand.checkAtLeast(invalid, "--idle-timeout-millis", idleTimeoutMillis, 1);
    StandinCommand.checkAtLeast(invalid, "--drain-millis", drainMillis, 0);
    if (!(requestLimit >= 0 && requestLimit < Double.POSITIVE_INFINITY)) {
      invalid.add("--request-limit: must be a number of at least 0: " + requestLimit);
    }
    readFaults(invalid);
  }

  private static void checkAddress(List<String> invalid, String flag, String value) {
    try {
      SocketAddresses.parse(value);
    } catch (IllegalArgumentException e) {
      invalid.add(flag + ": " + e.getMessage());
    }
  }

  private void readFaults(List<String> invalid) {
    if (faultsFile.isEmpty()) {
      return;
    }
    try {
      faults = EngineFaults.parse(Files.readAllBytes(Path.of(faultsFile)));
    } catch (IOException | IllegalArgumentException e) {
      invalid.add("--faults: " + faultsFile + ": " + e.getMessage());
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    if (record.isEmpty()) {
      return run(DirectEngine.create(settings(), bind(), controlBind(), codec(), r -> {}), out);
    }
    try (RunRecordFile file = RunRecordFile.open(Path.of(record))) {
      return run(
          DirectEngine.create(
              settings(), bind(), controlBind(), codec(), line -> append(file, line)),
          out);
    }
  }

  /** Appends a line, or ends the process if that fails: a record with gaps proves nothing. */
  private void append(RunRecordFile file, RunRecord line) {
    try {
      file.accept(line);
    } catch (UncheckedIOException e) {
      EventLog.emit(LogEvent.STANDIN_RECORD_FAILED, e, "record", record, "error", e);
      Runtime.getRuntime().halt(FAILED);
    }
  }

  private int run(DirectEngine engine, PrintStream out) throws InterruptedException {
    CountDownLatch terminated = new CountDownLatch(1);
    Signal term = new Signal("TERM");
    SignalHandler previous = Signal.handle(term, signal -> terminated.countDown());
    try {
      engine.setFaults(faults);
      engine.setCrashAction(() -> Runtime.getRuntime().halt(FAILED));
      engine.start();
      announce(engine, out);
      terminated.await();
      engine.drain();
    } finally {
      engine.stop();
      Signal.handle(term, previous);
    }
    return OK;
  }

  private static void announce(DirectEngine engine, PrintStream out) {
    String listening = SocketAddresses.format(engine.address());
    EventLog.emit(LogEvent.STANDIN_READY, "standin", NAME, "address", listening);
    out.println(
        Json.object()
            .put("ready", NAME)
            .put("address", listening)
            .put("controlAddress", SocketAddresses.format(engine.controlAddress())));
    out.flush();
  }

  private InetSocketAddress bind() {
    return SocketAddresses.parse(address);
  }

  private InetSocketAddress controlBind() {
    return SocketAddresses.parse(controlAddress);
  }

  private static PlatformEngineHeaderCodec codec() {
    return new PlatformEngineHeaderCodec();
  }

  private DirectEngineSettings settings() {
    return new DirectEngineSettings(
        id,
        seed,
        healthPath,
        new DirectEngineSettings.Limits(slots, queue, maxConnections, memoryTokens),
        new DirectEngineSettings.Speed(
            stepMillis, prefillTokensPerMilli, tokensPerEvent, workMillis),
        new DirectEngineSettings.Trouble(requestLimit, deadlyPart),
        idleTimeoutMillis,
        drainMillis);
  }
}
