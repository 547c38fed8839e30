package org.tanagerbank.cli;

import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.backing.HttpInstanceList;
import org.tanagerbank.backing.HttpLogService;
import org.tanagerbank.backing.SocketAddresses;
import org.tanagerbank.entry.Entry;
import org.tanagerbank.entry.EntrySettings;
import org.tanagerbank.http.AsyncHttpCaller;
import org.tanagerbank.http.Json;
import org.tanagerbank.machine.Zone;

/** Runs an entry until the process is told to stop. Not thread-safe. */
final class EntryCommand implements Command {
  private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;

  /** The time within which a connection to the platform must open; calls have their own limits. */
  private static final long CONNECT_TIMEOUT_MILLIS = 20_000;

  @Option(name = "--id", metaVar = "ID", usage = "instance id, unique in the fleet")
  private String id = "";

  @Option(name = "--zone", metaVar = "ZONE", usage = "availability zone")
  private String zone = "";

  @Option(name = "--region", metaVar = "REGION", usage = "region of the zone")
  private String region = "";

  @Option(
      name = "--incarnation",
      metaVar = "N",
      usage = "number that rises with each start; default: the start time in milliseconds")
  private long incarnation;

  @Option(name = "--http-address", metaVar = "IP:PORT", usage = "where to serve callers")
  private String httpAddress = "127.0.0.1:0";

  @Option(name = "--link-address", metaVar = "IP:PORT", usage = "where to accept links")
  private String linkAddress = "127.0.0.1:0";

  @Option(name = "--log", metaVar = "IP:PORT", usage = "the platform's log")
  private String log = "";

  @Option(name = "--instances", metaVar = "IP:PORT", usage = "the platform's instance list")
  private String instances = "";

  @Option(name = "--max-body-bytes", metaVar = "N", usage = "largest body of a request")
  private int maxBodyBytes = EntrySettings.MAX_BODY_BYTES;

  @Option(
      name = "--drain-limit-millis",
      metaVar = "MS",
      usage = "longest time a planned stop waits for answers in flight; 0 for no limit")
  private long drainLimitMillis;

  @Override
  public void check(List<String> faults) {
    ImmutableMap.of("--id", id, "--zone", zone, "--region", region)
        .forEach(
            (flag, value) -> {
              if (value.isEmpty()) {
                faults.add(flag + ": is required");
              }
            });
    ImmutableMap.of(
            "--http-address", httpAddress,
            "--link-address", linkAddress,
            "--log", log,
            "--instances", instances)
        .forEach((flag, value) -> checkAddress(flag, value, faults));
    if (maxBodyBytes <= 0 || maxBodyBytes > EntrySettings.MAX_BODY_BYTES) {
      faults.add("--max-body-bytes: must be from 1 to " + EntrySettings.MAX_BODY_BYTES);
    }
    if (drainLimitMillis < 0) {
      faults.add("--drain-limit-millis: must not be negative");
    }
    if (incarnation < 0) {
      faults.add("--incarnation: must not be negative");
    }
  }

  private static void checkAddress(String flag, String value, List<String> faults) {
    try {
      SocketAddresses.parse(value);
    } catch (IllegalArgumentException e) {
      faults.add(flag + ": must be ip:port, not \"" + value + "\"");
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    AsyncHttpCaller caller = AsyncHttpCaller.create(CONNECT_TIMEOUT_MILLIS);
    caller.start();
    Entry entry =
        Entry.create(
            settings(),
            HttpInstanceList.create(
                caller, SocketAddresses.parse(instances), PLATFORM_TIMEOUT_MILLIS),
            HttpLogService.create(caller, SocketAddresses.parse(log), PLATFORM_TIMEOUT_MILLIS));
    entry.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopPlanned(entry), "shutdown"));
    out.println(
        Json.object()
            .put("ready", "entry")
            .put("http", SocketAddresses.format(entry.httpAddress()))
            .put("link", SocketAddresses.format(entry.linkAddress())));
    out.flush();
    Thread.currentThread().join();
    return OK;
  }

  private EntrySettings settings() {
    return new EntrySettings(
        id,
        new Zone(zone, region),
        incarnation != 0 ? incarnation : System.currentTimeMillis(),
        SocketAddresses.parse(httpAddress),
        SocketAddresses.parse(linkAddress),
        maxBodyBytes,
        drainLimitMillis);
  }

  private static void stopPlanned(Entry entry) {
    try {
      entry.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    entry.stop();
    // Without this, a process that ended a planned stop would exit with the status of a signal.
    Runtime.getRuntime().halt(OK);
  }
}
