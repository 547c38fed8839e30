package org.tanagerbank.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.standin.EngineSettings;
import org.tanagerbank.standin.EngineStandin;
import org.tanagerbank.standin.Standin;

/** Runs the stand-in of a model engine. Not thread-safe. */
final class StandinEngineCommand extends StandinCommand {
  @Option(
      name = "--step-millis",
      usage = "duration of a step, which produces one token for each request")
  private long stepMillis = 5;

  @Option(name = "--max-batch", usage = "maximum number of requests that run at a time")
  private int maxBatch = 64;

  @Option(name = "--prefill-tokens-per-step", usage = "uncached prompt tokens processed per step")
  private int prefillTokensPerStep = 2_048;

  @Option(name = "--cache-tokens", usage = "size of the prefix cache in tokens")
  private int cacheTokens = 262_144;

  @Option(name = "--cache-event-delay-millis", usage = "delay until cache events are visible")
  private long cacheEventDelayMillis;

  @Option(name = "--cache-event-lose-every", usage = "lose every Nth cache event; 0: none")
  private int cacheEventLoseEvery;

  @Option(name = "--load-lag-millis", usage = "age of the reported load")
  private long loadLagMillis;

  @Option(name = "--check-fencing", usage = "reject orders with an outdated fencing number")
  private boolean checkFencing;

  @Option(name = "--crash-marker", usage = "text in a message that crashes the engine")
  private String crashMarker = "";

  @Option(name = "--restart-millis", usage = "how long the engine is down after a crash")
  private long restartMillis = 1_000;

  @Option(name = "--slow-factor", usage = "factor by which steps take longer")
  private double slowFactor = 1;

  @Option(name = "--lose-answers", usage = "number of requests that run but get no answer")
  private int loseAnswers;

  StandinEngineCommand() {
    super("standin-engine");
  }

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
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
            .loseFirstAnswers(loseAnswers));
  }
}
