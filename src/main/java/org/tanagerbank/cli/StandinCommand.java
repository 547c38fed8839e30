package org.tanagerbank.cli;

import com.google.common.net.InetAddresses;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.tanagerbank.backing.SocketAddresses;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.Json;
import org.tanagerbank.standin.Standin;

/**
 * Runs one stand-in until the process is told to stop.
 *
 * <p>Prints one JSON line with the address when ready. Not thread-safe.
 */
abstract class StandinCommand implements Command {
  private static final int MAX_PORT = 65_535;

  @Option(name = "--host", usage = "IP number to listen on")
  private String host = "127.0.0.1";

  @Option(name = "--port", usage = "port to listen on; 0 picks a free one")
  private int port;

  private final String name;

  StandinCommand(String name) {
    this.name = name;
  }

  /** Returns the stand-in with the settings of the options. */
  abstract Standin create(InetSocketAddress bind);

  @Override
  public void check(List<String> faults) {
    if (!InetAddresses.isInetAddress(host)) {
      faults.add("--host: not an IP number: " + host);
    }
    if (port < 0 || port > MAX_PORT) {
      faults.add("--port: must be from 0 to " + MAX_PORT + ": " + port);
    }
  }

  static void checkAtLeast(List<String> faults, String flag, long value, long least) {
    if (value < least) {
      faults.add(flag + ": must be at least " + least + ": " + value);
    }
  }

  static void checkAtLeast(List<String> faults, String flag, double value, double least) {
    if (!(value >= least)) {
      faults.add(flag + ": must be at least " + least + ": " + value);
    }
  }

  @Override
  public final int run(PrintStream out, PrintStream err) throws InterruptedException {
    Standin standin = create(new InetSocketAddress(InetAddresses.forString(host), port));
    standin.start();
    try {
      Runtime.getRuntime().addShutdownHook(new Thread(standin::stop, name + "-stop"));
      String address = SocketAddresses.format(standin.address());
      EventLog.emit(LogEvent.STANDIN_READY, "standin", name, "address", address);
      out.println(Json.object().put("ready", name).put("address", address));
      out.flush();
      // A signal ends the process through the shutdown hook.
      new CountDownLatch(1).await();
    } finally {
      standin.stop();
    }
    return OK;
  }
}
