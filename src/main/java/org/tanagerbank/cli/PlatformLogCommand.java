package org.tanagerbank.cli;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.platformclient.HttpLogService;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.platformclient.SocketAddresses;

/** Base class of the commands that read or append to the platform's log. Not thread-safe. */
abstract class PlatformLogCommand implements Command {
  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final long CALL_TIMEOUT_MILLIS = 10_000;

  @Option(name = "--log", metaVar = "IP:PORT", usage = "address of the platform's log")
  private String log = "";

  @Option(
      name = "--timeout-millis",
      metaVar = "MS",
      usage = "how long to retry failed calls to the log")
  private long timeoutMillis = 30_000;

  @Option(name = "--json", usage = "print the result as JSON")
  private boolean json;

  @Override
  public void validate(List<String> faults) {
    if (log.isEmpty()) {
      faults.add("--log: is required");
    } else {
      checkAddress(faults);
    }
    if (timeoutMillis < 0) {
      faults.add("--timeout-millis: must not be negative");
    }
  }

  private void checkAddress(List<String> faults) {
    try {
      SocketAddresses.parse(log);
    } catch (IllegalArgumentException e) {
      faults.add("--log: must be ip:port, not \"" + log + "\"");
    }
  }

  @Override
  public final int run(PrintStream out, PrintStream err) throws InterruptedException {
    AsyncHttpClient client = AsyncHttpClient.create(CONNECT_TIMEOUT_MILLIS);
    client.start();
    try {
      LogService service =
          HttpLogService.create(client, SocketAddresses.parse(log), CALL_TIMEOUT_MILLIS);
      return run(service, out, err);
    } finally {
      client.stop();
    }
  }

  /** Runs the command with a client of the platform's log and returns the exit status. */
  abstract int run(LogService service, PrintStream out, PrintStream err)
      throws InterruptedException;

  final long timeoutMillis() {
    return timeoutMillis;
  }

  final boolean isJson() {
    return json;
  }
}
