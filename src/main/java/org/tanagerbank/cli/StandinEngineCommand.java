package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.standin.EngineSettings;
import org.tanagerbank.standin.EngineStandin;
import org.tanagerbank.standin.Standin;

/** Runs the stand-in of a model engine. Not thread-safe. */
final class StandinEngineCommand extends StandinCommand {
  @Option(name = "--step-millis", usage = "time of a step, which gives each request one token")
  private long stepMillis = 5;

  @Option(name = "--max-batch", usage = "how many requests run at a time")
  private int maxBatch = 64;

  @Option(name = "--prefill-tokens-per-step", usage = "uncached prompt tokens that a step takes in")
  private int prefillTokensPerStep = 2_048;

  @Option(name = "--cache-tokens", usage = "size of the prefix cache")
  private int cacheTokens = 262_144;

  @Option(name = "--cache-event-delay-millis", usage = "how late cache events are published")
  private long cacheEventDelayMillis;

  @Option(name = "--cache-event-lose-every", usage = "one of so many cache events is lost; 0: none")
  private int cacheEventLoseEvery;

  @Option(name = "--load-lag-millis", usage = "how old the reported load is")
  private long loadLagMillis;

  @Option(name = "--check-fencing", usage = "refuse orders with an outdated fencing number")
  private boolean checkFencing;

  @Option(name = "--crash-marker", usage = "text in a message that crashes the engine")
  private String crashMarker = "";

  @Option(name = "--restart-millis", usage = "how long the engine is down after such a crash")
  private long restartMillis = 1_000;

  @Option(name = "--slow-factor", usage = "by how much steps take longer")
  private double slowFactor = 1;

  @Option(name = "--lose-answers", usage = "how many requests run but lose their answer")
  private int loseAnswers;

  StandinEngineCommand() {
    super("standin-engine");
  }

  @Override
  public void check(List<String> faults) {
    super.check(faults);
    checkAtLeast(faults, "--step-millis", stepMillis, 1);
    checkAtLeast(faults, "--max-batch", maxBatch, 1);
    checkAtLeast(faults, "--prefill-tokens-per-step", prefillTokensPerStep, 1);
    checkAtLeast(faults, "--cache-tokens", cacheTokens, 0);
    checkAtLeast(faults, "--cache-event-delay-millis", cacheEventDelayMillis, 0);
    checkAtLeast(faults, "--cache-event-lose-every", cacheEventLoseEvery, 0);
    checkAtLeast(faults, "--load-lag-millis", loadLagMillis, 0);
    checkAtLeast(faults, "--restart-millis", restartMillis, 0);
    checkAtLeast(faults, "--slow-factor", slowFactor, 1);
    checkAtLeast(faults, "--lose-answers", loseAnswers, 0);
  }

  @Override
  Standin create(InetSocketAddress bind) {
    return EngineStandin.create(
        bind,
        EngineSettings.defaults()
            .stepMillis(stepMillis)
            .maxBatch(maxBatch)
            .prefillTokensPerStep(prefillTokensPerStep)
            .cacheTokens(cacheTokens)
            .cacheEvents(cacheEventDelayMillis, cacheEventLoseEvery)
            .loadLagMillis(loadLagMillis)
            .checkFencing(checkFencing)
            .crashMarker(crashMarker)
            .restartMillis(restartMillis)
            .slowFactor(slowFactor)
            .loseAnswers(loseAnswers));
  }
}
