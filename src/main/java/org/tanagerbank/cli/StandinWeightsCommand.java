package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.standin.Standin;
import org.tanagerbank.standin.WeightStandin;

/** Runs the stand-in of the platform's weight store. Not thread-safe. */
final class StandinWeightsCommand extends StandinCommand {
  private static final double MIN_LOADS_PER_SECOND = 0.001;

  @Option(
      name = "--loads-per-second",
      usage = "maximum rate of loads; loads above it get status 429")
  private double loadsPerSecond = 1;

  @Option(name = "--weight-bytes", usage = "size of the weights of each model")
  private int weightBytes = 1 << 16;

  StandinWeightsCommand() {
    super("standin-weights");
  }

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    checkAtLeast(faults, "--loads-per-second", loadsPerSecond, MIN_LOADS_PER_SECOND);
    checkAtLeast(faults, "--weight-bytes", weightBytes, 0);
  }

  @Override
  Standin create(InetSocketAddress bind) {
    return WeightStandin.create(bind, loadsPerSecond, weightBytes);
  }
}
