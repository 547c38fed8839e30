package org.tanagerbank.cli;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.backing.HttpLogService;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.backing.SocketAddresses;
import org.tanagerbank.http.AsyncHttpCaller;

/** A command that talks to the platform's log. Not thread-safe. */
abstract class LogCommand implements Command {
  private static final long CONNECT_MILLIS = 2_000;
  private static final long CALL_MILLIS = 10_000;

  @Option(name = "--log", metaVar = "IP:PORT", usage = "the platform's log")
  private String log = "";

  @Option(
      name = "--timeout-millis",
      metaVar = "MS",
      usage = "how long to repeat failed calls to the log")
  private long timeoutMillis = 30_000;

  @Option(name = "--json", usage = "print the result as JSON")
  private boolean json;

  @Override
  public void check(List<String> faults) {
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
      faults.add("--log: must be IP:PORT, not \"" + log + "\"");
    }
  }

  @Override
  public final int run(PrintStream out, PrintStream err) throws InterruptedException {
    AsyncHttpCaller caller = AsyncHttpCaller.create(CONNECT_MILLIS);
    caller.start();
    try {
      LogService service = HttpLogService.create(caller, SocketAddresses.parse(log), CALL_MILLIS);
      return run(service, out, err);
    } finally {
      caller.stop();
    }
  }

  abstract int run(LogService service, PrintStream out, PrintStream err)
      throws InterruptedException;

  final long timeoutMillis() {
    return timeoutMillis;
  }

  final boolean isJson() {
    return json;
  }
}
