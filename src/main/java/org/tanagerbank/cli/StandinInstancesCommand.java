package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.standin.InstanceListStandin;
import org.tanagerbank.standin.Standin;

/** Runs the stand-in of the platform's instance list. Not thread-safe. */
final class StandinInstancesCommand extends StandinCommand {
  @Option(name = "--lag-millis", usage = "age of the served list")
  private long lagMillis;

  @Option(
      name = "--probe-millis",
      usage = "time between probes, which remove instances that refuse connections; 0 for none")
  private long probeMillis;

  StandinInstancesCommand() {
    super("standin-instances");
  }

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    checkAtLeast(faults, "--lag-millis", lagMillis, 0);
    checkAtLeast(faults, "--probe-millis", probeMillis, 0);
  }

  @Override
  Standin create(InetSocketAddress bind) {
    return InstanceListStandin.create(bind, lagMillis, probeMillis);
  }
}
