package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.standin.Standin;
import org.tanagerbank.standin.WeightStandin;

/** Runs the stand-in of the platform's weight store. Not thread-safe. */
final class StandinWeightsCommand extends StandinCommand {
  private static final double LEAST_RATE = 0.001;

  @Option(name = "--loads-per-second", usage = "rate of loads above which a load gets 429")
  private double loadsPerSecond = 1;

  @Option(name = "--weight-bytes", usage = "size of every model's weights")
  private int weightBytes = 1 << 16;

  StandinWeightsCommand() {
    super("standin-weights");
  }

  @Override
  public void check(List<String> faults) {
    super.check(faults);
    checkAtLeast(faults, "--loads-per-second", loadsPerSecond, LEAST_RATE);
    checkAtLeast(faults, "--weight-bytes", weightBytes, 0);
  }

  @Override
  Standin create(InetSocketAddress bind) {
    return WeightStandin.create(bind, loadsPerSecond, weightBytes);
  }
}
