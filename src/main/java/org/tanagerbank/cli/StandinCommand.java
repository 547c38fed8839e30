package org.tanagerbank.cli;

import com.google.common.net.InetAddresses;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.Json;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.standin.Standin;

/**
 * Runs one stand-in until the process receives a signal to stop.
 *
 * <p>When the stand-in is ready, the command prints one JSON line with its address. Not
 * thread-safe.
 */
abstract class StandinCommand implements Command {
  private static final int MAX_PORT = 65_535;

  @Option(name = "--host", usage = "IP address to listen on")
  private String host = "127.0.0.1";

  @Option(name = "--port", usage = "port to listen on; 0 selects a free one")
  private int port;

  private final String name;

  StandinCommand(String name) {
    this.name = name;
  }

  /**
   * Creates the stand-in with the settings from the options.
   *
   * @param bind the address to listen on; port 0 selects a free port
   */
  abstract Standin create(InetSocketAddress bind);

  @Override
  public void validate(List<String> faults) {
    if (!InetAddresses.isInetAddress(host)) {
      faults.add("--host: not an IP address: " + host);
    }
    if (port < 0 || port > MAX_PORT) {
      faults.add("--port: must be from 0 to " + MAX_PORT + ": " + port);
    }
  }

  static void checkAtLeast(List<String> faults, String flag, long value, long minimum) {
    if (value < minimum) {
      faults.add(flag + ": must be at least " + minimum + ": " + value);
    }
  }

  static void checkAtLeast(List<String> faults, String flag, double value, double minimum) {
    if (!(value >= minimum)) {
      faults.add(flag + ": must be at least " + minimum + ": " + value);
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
