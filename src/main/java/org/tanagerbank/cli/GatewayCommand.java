package org.tanagerbank.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.dispatch.DispatchSettings;
import org.tanagerbank.gateway.Gateway;
import org.tanagerbank.gateway.GatewaySettings;
import org.tanagerbank.platform.NodeSettings;
import org.tanagerbank.platform.NodeSettingsReader;
import org.tanagerbank.platform.PlatformDialect;
import org.tanagerbank.platform.PlatformStore;
import org.tanagerbank.platform.StoreClient;
import sun.misc.Signal;

/** Runs a gateway on the users' platform until the process is told to stop. Not thread-safe. */
final class GatewayCommand implements Command {
  /** Left unused of the fleet's retries beyond the ratio, because instances count on their own. */
  private static final double RETRY_FLOOR_SHARE = 0.7;

  /** Stays below the ratio of the platform, because instances count on their own. */
  private static final double RETRY_RATIO_SHARE = 0.7;

  @Option(name = "--node-file", metaVar = "FILE", usage = "settings of the instance, as JSON")
  private String nodeFile = "";

  private NodeSettings node;

  @Override
  public void check(List<String> faults) {
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
    Gateway gateway =
        Gateway.create(
            settings(),
            new PlatformDialect(),
            loop ->
                PlatformStore.create(
                    StoreClient.create(
                        loop, node.storeAddress(), () -> System.nanoTime() / 1_000_000)));
    gateway.start();
    Thread serving = Thread.currentThread();
    Signal.handle(new Signal("TERM"), signal -> serving.interrupt());
    Signal.handle(new Signal("INT"), signal -> serving.interrupt());
    Signal.handle(new Signal("HUP"), signal -> {});
    awaitInterrupt();
    gateway.drain();
    gateway.stop();
    return OK;
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
        bounds.revokeMillis(),
        bounds.configMillis(),
        bounds.graceMillis(),
        new DispatchSettings(
            node.zone(),
            bounds.loadMultiple(),
            bounds.retryRatio() * RETRY_RATIO_SHARE,
            bounds.retryWindowMillis(),
            bounds.retrySlack() * RETRY_FLOOR_SHARE));
  }
}
