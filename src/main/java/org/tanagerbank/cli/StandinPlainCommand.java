package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.standin.PlainStandin;
import org.tanagerbank.standin.Standin;

/** Runs the stand-in of a plain service. Not thread-safe. */
final class StandinPlainCommand extends StandinCommand {
  @Option(name = "--delay-millis", usage = "duration of a call")
  private long delayMillis;

  @Option(name = "--lose-answers", usage = "number of calls that run but get no response")
  private int loseAnswers;

  StandinPlainCommand() {
    super("standin-plain");
  }

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    checkAtLeast(faults, "--delay-millis", delayMillis, 0);
    checkAtLeast(faults, "--lose-answers", loseAnswers, 0);
  }

  @Override
  Standin create(InetSocketAddress bind) {
    PlainStandin plain = PlainStandin.create(bind, delayMillis);
    plain.loseNextAnswers(loseAnswers);
    return plain;
  }
}
