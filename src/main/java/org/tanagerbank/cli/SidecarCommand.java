package org.tanagerbank.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.sidecar.Sidecar;
import org.tanagerbank.sidecar.SidecarSettings;

/** Runs a sidecar until the process receives a signal to stop. Not thread-safe. */
final class SidecarCommand extends LinkedProcessCommand {
  @Option(name = "--service", metaVar = "NAME", usage = "service of the upstream")
  private String service = "";

  @Option(name = "--upstream", metaVar = "IP:PORT", usage = "HTTP address of the upstream")
  private String upstream = "";

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    requireNonEmpty(Map.of("--service", service), faults);
    requireAddresses(Map.of("--upstream", upstream), faults);
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    Sidecar sidecar = Sidecar.create(settings());
    sidecar.start();
    serve("sidecar", sidecar, sidecar::drain, sidecar.httpAddress(), sidecar.linkAddress(), out);
    return OK;
  }

  private SidecarSettings settings() {
    return new SidecarSettings(
        id,
        incarnation(),
        service,
        zone(),
        SocketAddresses.parse(linkAddress),
        SocketAddresses.parse(httpAddress),
        SocketAddresses.parse(upstream),
        SocketAddresses.parse(log),
        SocketAddresses.parse(instances),
        drainLimitMillis);
  }
}
