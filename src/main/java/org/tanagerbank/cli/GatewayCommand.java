package org.tanagerbank.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.tanagerbank.dispatch.DispatchSettings;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.gateway.Gateway;
import org.tanagerbank.gateway.GatewaySettings;
import org.tanagerbank.platform.NodeSettings;
import org.tanagerbank.platform.NodeSettingsReader;
import org.tanagerbank.platform.PlatformDialect;
import org.tanagerbank.platform.PlatformEngines;
import org.tanagerbank.platform.PlatformStore;
import org.tanagerbank.platform.StoreClient;
import sun.misc.Signal;

/** Runs a gateway on the users' platform until the process is told to stop. Not thread-safe. */
final class GatewayCommand implements Command {
  /** Left unused of the fleet's retries beyond the ratio, because instances count on their own. */
  private static final double RETRY_FLOOR_SHARE = 0.7;

  /** Stays below the ratio of the platform, because instances count on their own. */
  private static final double RETRY_RATIO_SHARE = 0.7;

  /** After a start, the configuration and the upstreams are known within this time. */
  private static final long START_WAIT_MILLIS = 700;

  /** Less than an engine takes to read a few long prompts again. */
  private static final long CACHE_WAIT_MILLIS = 300;

  /** An answer is of use only while few requests have been placed without it. */
  private static final long ENGINE_ANSWER_MILLIS = 500;

  private static final int MAX_PORT = 65_535;

  @Option(name = "--node-file", metaVar = "FILE", usage = "settings of the instance, as JSON")
  private String nodeFile = "";

  @Option(name = "--metrics-port", metaVar = "PORT", usage = "where to serve metrics; 0 for none")
  private int metricsPort;

  private NodeSettings node;

  @Override
  public void check(List<String> faults) {
    if (metricsPort < 0 || metricsPort > MAX_PORT) {
      faults.add("--metrics-port: must be from 0 to " + MAX_PORT);
    }
    if (nodeFile.isEmpty()) {
      faults.add("--node-file: is required");
      return;
    }
    NodeSettings.Reading reading = NodeSettingsReader.read(Path.of(nodeFile));
    node = reading.settings();
    faults.addAll(reading.faults());
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    EventLog.installQueued(out);
    Gateway gateway =
        Gateway.create(
            settings(),
            new PlatformDialect(),
            PlatformEngines.create(ENGINE_ANSWER_MILLIS),
            loop ->
                PlatformStore.create(
                    StoreClient.create(
                        loop, node.storeAddress(), () -> System.nanoTime() / 1_000_000)));
    // Before the start, as the default action of these signals would cut off requests.
    Thread serving = Thread.currentThread();
    Signal.handle(new Signal("TERM"), signal -> serving.interrupt());
    Signal.handle(new Signal("INT"), signal -> serving.interrupt());
    Signal.handle(new Signal("HUP"), signal -> reload());
    gateway.start();
    awaitInterrupt();
    gateway.drain();
    gateway.stop();
    EventLog.close();
    return OK;
  }

  /** Reads the settings again and says whether they changed; a new start uses them. */
  private void reload() {
    NodeSettings.Reading reading = NodeSettingsReader.read(Path.of(nodeFile));
    if (reading.settings() == null) {
      EventLog.emit(LogEvent.SETTINGS_INVALID, "faults", String.join("; ", reading.faults()));
    } else {
      EventLog.emit(LogEvent.SETTINGS_RELOADED, "changed", !reading.settings().equals(node));
    }
  }

  private static void awaitInterrupt() {
    try {
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      // The process was told to stop.
    }
  }

  private GatewaySettings settings() {
    NodeSettings.Bounds bounds = node.bounds();
    return new GatewaySettings(
        node.instanceId(),
        node.callerAddress(),
        new InetSocketAddress(node.ip(), node.firstPeerPort()),
        node.readyAddress(),
        metricsPort == 0
            ? Optional.empty()
            : Optional.of(new InetSocketAddress(node.ip(), metricsPort)),
        node.firstStart(),
        bounds.revokeMillis(),
        bounds.configMillis(),
        bounds.drainMillis(),
        bounds.graceMillis(),
        CACHE_WAIT_MILLIS,
        new DispatchSettings(
            node.zone(),
            bounds.loadMultiple(),
            bounds.retryRatio() * RETRY_RATIO_SHARE,
            bounds.retryWindowMillis(),
            bounds.retrySlack() * RETRY_FLOOR_SHARE,
            START_WAIT_MILLIS));
  }
}
