package org.tanagerbank.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.request.Lifecycle;

/**
 * Base class of the commands that run a process with links to other processes.
 *
 * <p>It holds the options for the identity and the addresses of the process, and performs the
 * planned stop. Not thread-safe.
 */
abstract class LinkedProcessCommand implements Command {
  @Option(name = "--id", metaVar = "ID", usage = "instance id, unique in the fleet")
  String id = "";

  @Option(name = "--zone", metaVar = "ZONE", usage = "availability zone")
  String zone = "";

  @Option(name = "--region", metaVar = "REGION", usage = "region of the zone")
  String region = "";

  @Option(
      name = "--incarnation",
      metaVar = "N",
      usage = "number that increases with each start; default: the start time in milliseconds")
  private long incarnation;

  @Option(name = "--http-address", metaVar = "IP:PORT", usage = "address to serve HTTP")
  String httpAddress = "127.0.0.1:0";

  @Option(name = "--link-address", metaVar = "IP:PORT", usage = "address to accept links")
  String linkAddress = "127.0.0.1:0";

  @Option(name = "--log", metaVar = "IP:PORT", usage = "address of the platform's log")
  String log = "";

  @Option(
      name = "--instances",
      metaVar = "IP:PORT",
      usage = "address of the platform's instance list")
  String instances = "";

  @Option(
      name = "--drain-limit-millis",
      metaVar = "MS",
      usage = "maximum wait of a planned stop; 0 for the limits of the requests in flight")
  long drainLimitMillis;

  /** Waits until all work in flight has ended. */
  @FunctionalInterface
  interface Drain {
    void await() throws InterruptedException;
  }

  @Override
  public void validate(List<String> faults) {
    requireNonEmpty(Map.of("--id", id, "--zone", zone, "--region", region), faults);
    requireAddresses(
        Map.of(
            "--http-address", httpAddress,
            "--link-address", linkAddress,
            "--log", log,
            "--instances", instances),
        faults);
    if (drainLimitMillis < 0) {
      faults.add("--drain-limit-millis: must not be negative");
    }
    if (incarnation < 0) {
      faults.add("--incarnation: must not be negative");
    }
  }

  static void requireNonEmpty(Map<String, String> valueByFlag, List<String> faults) {
    valueByFlag.forEach(
        (flag, value) -> {
          if (value.isEmpty()) {
            faults.add(flag + ": is required");
          }
        });
  }

  static void requireAddresses(Map<String, String> valueByFlag, List<String> faults) {
    valueByFlag.forEach((flag, value) -> requireAddress(flag, value, faults));
  }

  private static void requireAddress(String flag, String value, List<String> faults) {
    try {
      SocketAddresses.parse(value);
    } catch (IllegalArgumentException e) {
      faults.add(flag + ": must be ip:port, not \"" + value + "\"");
    }
  }

  Zone zone() {
    return new Zone(zone, region);
  }

  /**
   * Returns the incarnation from the options, or the current time in milliseconds if none is set.
   */
  long incarnation() {
    return incarnation != 0 ? incarnation : System.currentTimeMillis();
  }

  /**
   * Prints that a started process is ready and blocks until the JVM shuts down, which drains and
   * stops the process.
   */
  static void serve(
      String name,
      Lifecycle process,
      Drain drain,
      InetSocketAddress http,
      InetSocketAddress link,
      PrintStream out)
      throws InterruptedException {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> drainAndStop(process, drain), "shutdown"));
    out.println(
        Json.object()
            .put("ready", name)
            .put("http", SocketAddresses.format(http))
            .put("link", SocketAddresses.format(link)));
    out.flush();
    Thread.currentThread().join();
  }

  private static void drainAndStop(Lifecycle process, Drain drain) {
    try {
      drain.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    process.stop();
    // Without halt, a process would exit with the status of a signal after a planned stop.
    Runtime.getRuntime().halt(OK);
  }
}
