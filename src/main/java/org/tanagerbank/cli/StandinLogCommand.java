package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.standin.LogSettings;
import org.tanagerbank.standin.LogStandin;
import org.tanagerbank.standin.Standin;

/** Runs the stand-in of the platform's log. Not thread-safe. */
final class StandinLogCommand extends StandinCommand {
  private static final LogSettings DEFAULTS = LogSettings.defaults();

  @Option(name = "--retention-millis", usage = "age at which records expire")
  private long retentionMillis = DEFAULTS.retentionMillis();

  @Option(name = "--retention-records", usage = "maximum number of records retained per stream")
  private int retentionRecords = DEFAULTS.retentionRecords();

  @Option(
      name = "--appends-per-second",
      usage = "maximum append rate; appends above it get status 429")
  private int appendsPerSecond = DEFAULTS.appendsPerSecond();

  @Option(name = "--slow-millis", usage = "delay of every response")
  private long slowMillis = DEFAULTS.slowMillis();

  @Option(name = "--outage", usage = "start with an outage; POST /admin ends it")
  private boolean outage;

  @Option(name = "--lose-answers", usage = "number of appends that take effect but get no response")
  private int loseAnswers;

  StandinLogCommand() {
    super("standin-log");
  }

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    checkAtLeast(faults, "--retention-millis", retentionMillis, 1);
    checkAtLeast(faults, "--retention-records", retentionRecords, 1);
    checkAtLeast(faults, "--appends-per-second", appendsPerSecond, 1);
    checkAtLeast(faults, "--slow-millis", slowMillis, 0);
    checkAtLeast(faults, "--lose-answers", loseAnswers, 0);
  }

  @Override
  Standin create(InetSocketAddress bind) {
    LogStandin log =
        LogStandin.create(
            bind, new LogSettings(retentionMillis, retentionRecords, appendsPerSecond, slowMillis));
    log.setOutage(outage);
    log.loseNextAnswers(loseAnswers);
    return log;
  }
}
