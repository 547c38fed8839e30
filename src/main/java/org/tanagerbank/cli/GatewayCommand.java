package org.tanagerbank.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.tanagerbank.dispatch.ColdTolerance;
import org.tanagerbank.dispatch.DispatchSettings;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.gateway.Gateway;
import org.tanagerbank.gateway.GatewaySettings;
import org.tanagerbank.platform.NodeSettings;
import org.tanagerbank.platform.NodeSettingsReader;
import org.tanagerbank.platform.PlatformEngineInspector;
import org.tanagerbank.platform.PlatformHeaderCodec;
import org.tanagerbank.platform.PlatformStore;
import org.tanagerbank.platform.StoreClient;

/**
 * Runs a gateway on the users' platform until the process receives a signal to stop.
 *
 * <p>Not thread-safe.
 */
final class GatewayCommand implements Command {
  /**
   * The share of the platform's retry slack that this fleet uses. Up to half of this share is taken
   * again when four instances restart with the setting of a first start.
   */
  private static final double RETRY_FLOOR_SHARE = 0.66;

  /**
   * The share of the platform's retry ratio that this fleet uses. The rest covers messages that
   * take longer than the budget assumes.
   */
  private static final double RETRY_RATIO_SHARE = 0.8;

  /** After a start, the gateway has the configuration and the upstreams within this time. */
  private static final long START_WAIT_MILLIS = 700;

  /**
   * After a restart, requests wait at most this long for the engines to answer which prompts they
   * have cached. The wait is shorter than the time that an engine needs to process a few long
   * prompts again.
   */
  private static final long CACHE_WAIT_MILLIS = 300;

  /**
   * The timeout for a query of an engine. A later answer is not useful, because the gateway has
   * placed many requests without it by then.
   */
  private static final long ENGINE_ANSWER_MILLIS = 500;

  private static final int MAX_PORT = 65_535;

  @Option(
      name = "--node-file",
      metaVar = "FILE",
      usage = "JSON file with the settings of the instance")
  private String nodeFile = "";

  @Option(name = "--metrics-port", metaVar = "PORT", usage = "port to serve metrics; 0 for none")
  private int metricsPort;

  private NodeSettings node;

  @Override
  public void validate(List<String> faults) {
    if (metricsPort < 0 || metricsPort > MAX_PORT) {
      faults.add("--metrics-port: must be from 0 to " + MAX_PORT);
    }
    if (nodeFile.isEmpty()) {
      faults.add("--node-file: is required");
      return;
    }
    NodeSettings.ParseResult result = NodeSettingsReader.read(Path.of(nodeFile));
    node = result.settings();
    faults.addAll(result.faults());
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    EventLog.installQueued(out);
    // Handlers are set before anything else, because the default actions end the process.
    ProcessSignals signals = ProcessSignals.handle(this::reload);
    Gateway gateway = createGateway();
    // A process that has not begun to serve has nothing to finish.
    if (!signals.isStopRequested()) {
      gateway.start();
      signals.awaitStop();
      gateway.drain(signals.millisSinceStopRequest());
      gateway.stop();
    }
    EventLog.close();
    return OK;
  }

  private Gateway createGateway() {
    return Gateway.create(
        settings(),
        new PlatformHeaderCodec(),
        PlatformEngineInspector.create(ENGINE_ANSWER_MILLIS),
        loop ->
            PlatformStore.create(
                StoreClient.create(
                    loop, node.storeAddress(), () -> System.nanoTime() / 1_000_000)));
  }

  /**
   * Reads the settings file again and logs whether the settings changed.
   *
   * <p>New settings take effect only after a restart.
   */
  private void reload() {
    NodeSettings.ParseResult result = NodeSettingsReader.read(Path.of(nodeFile));
    if (result.settings() == null) {
      EventLog.emit(LogEvent.SETTINGS_INVALID, "faults", String.join("; ", result.faults()));
    } else {
      EventLog.emit(LogEvent.SETTINGS_RELOADED, "changed", !result.settings().equals(node));
    }
  }

  private GatewaySettings settings() {
    NodeSettings.Limits bounds = node.bounds();
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
        bounds.evacuationMillis(),
        bounds.drainMillis(),
        node.upstreamReportMillis(),
        bounds.graceMillis(),
        CACHE_WAIT_MILLIS,
        new DispatchSettings(
            node.instanceId(),
            node.zone(),
            bounds.loadMultiple(),
            bounds.retryRatio() * RETRY_RATIO_SHARE,
            bounds.retryWindowMillis(),
            bounds.retrySlack() * RETRY_FLOOR_SHARE,
            START_WAIT_MILLIS,
            node.regionsByZone(),
            new ColdTolerance(bounds.coldOver(), bounds.coldSlack()),
            node.shedsLoad()));
  }
}
