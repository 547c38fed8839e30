package org.tanagerbank.cli;

import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.backing.SocketAddresses;
import org.tanagerbank.http.Json;
import org.tanagerbank.machine.Zone;
import org.tanagerbank.sidecar.Sidecar;
import org.tanagerbank.sidecar.SidecarSettings;

/** Runs a sidecar until the process is told to stop. Not thread-safe. */
final class SidecarCommand implements Command {
  @Option(name = "--id", metaVar = "ID", usage = "instance id, unique in the fleet")
  private String id = "";

  @Option(name = "--service", metaVar = "NAME", usage = "service of the upstream")
  private String service = "";

  @Option(name = "--zone", metaVar = "ZONE", usage = "availability zone")
  private String zone = "";

  @Option(name = "--region", metaVar = "REGION", usage = "region of the zone")
  private String region = "";

  @Option(
      name = "--incarnation",
      metaVar = "N",
      usage = "number that rises with each start; default: the start time in milliseconds")
  private long incarnation;

  @Option(name = "--link-address", metaVar = "IP:PORT", usage = "where to accept links")
  private String linkAddress = "127.0.0.1:0";

  @Option(name = "--http-address", metaVar = "IP:PORT", usage = "where to serve metrics, health")
  private String httpAddress = "127.0.0.1:0";

  @Option(name = "--upstream", metaVar = "IP:PORT", usage = "where the upstream serves HTTP")
  private String upstream = "";

  @Option(name = "--log", metaVar = "IP:PORT", usage = "the platform's log")
  private String log = "";

  @Option(name = "--instances", metaVar = "IP:PORT", usage = "the platform's instance list")
  private String instances = "";

  @Option(
      name = "--drain-limit-millis",
      metaVar = "MS",
      usage = "longest time a planned stop waits; 0: the limit of the declaration")
  private long drainLimitMillis;

  @Override
  public void check(List<String> faults) {
    ImmutableMap.of("--id", id, "--service", service, "--zone", zone, "--region", region)
        .forEach(
            (flag, value) -> {
              if (value.isEmpty()) {
                faults.add(flag + ": is required");
              }
            });
    ImmutableMap.of(
            "--link-address", linkAddress,
            "--http-address", httpAddress,
            "--upstream", upstream,
            "--log", log,
            "--instances", instances)
        .forEach((flag, value) -> checkAddress(flag, value, faults));
    if (incarnation < 0) {
      faults.add("--incarnation: must not be negative");
    }
    if (drainLimitMillis < 0) {
      faults.add("--drain-limit-millis: must not be negative");
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    Sidecar sidecar = Sidecar.create(settings());
    sidecar.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopPlanned(sidecar), "shutdown"));
    out.println(
        Json.object()
            .put("ready", "sidecar")
            .put("http", SocketAddresses.format(sidecar.httpAddress()))
            .put("link", SocketAddresses.format(sidecar.linkAddress())));
    out.flush();
    Thread.currentThread().join();
    return OK;
  }

  private SidecarSettings settings() {
    return new SidecarSettings(
        id,
        incarnation != 0 ? incarnation : System.currentTimeMillis(),
        service,
        new Zone(zone, region),
        SocketAddresses.parse(linkAddress),
        SocketAddresses.parse(httpAddress),
        SocketAddresses.parse(upstream),
        SocketAddresses.parse(log),
        SocketAddresses.parse(instances),
        drainLimitMillis);
  }

  private static void stopPlanned(Sidecar sidecar) {
    try {
      sidecar.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    sidecar.stop();
    // Without this, a process that ended a planned stop would exit with the status of a signal.
    Runtime.getRuntime().halt(OK);
  }

  private static void checkAddress(String flag, String value, List<String> faults) {
    try {
      SocketAddresses.parse(value);
    } catch (IllegalArgumentException e) {
      faults.add(flag + ": must be ip:port, not \"" + value + "\"");
    }
  }
}
