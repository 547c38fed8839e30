package org.tanagerbank.standin;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of an {@link EngineStandin}, as a bean that is filled in before the start.
 *
 * <p>Not thread-safe.
 */
public final class EngineSettings {
  long stepMillis = 5;
  int maxBatch = 64;
  int prefillTokensPerStep = 2_048;
  int cacheTokens = 262_144;
  long cacheEventDelayMillis;
  int cacheEventLoseEvery;
  long loadLagMillis;
  boolean checkFencing;
  String crashMarker = "";
  long restartMillis = 1_000;
  double slowFactor = 1;
  int loseAnswers;

  private EngineSettings() {}

  /** Returns the default settings. */
  public static EngineSettings defaults() {
    return new EngineSettings();
  }

  /** Sets the time of a step. */
  public EngineSettings stepMillis(long value) {
    checkArgument(value > 0, "stepMillis must be positive: %s", value);
    stepMillis = value;
    return this;
  }

  /** Sets how many requests run at a time. */
  public EngineSettings maxBatch(int value) {
    checkArgument(value > 0, "maxBatch must be positive: %s", value);
    maxBatch = value;
    return this;
  }

  /** Sets how many uncached prompt tokens one step takes in. */
  public EngineSettings prefillTokensPerStep(int value) {
    checkArgument(value > 0, "prefillTokensPerStep must be positive: %s", value);
    prefillTokensPerStep = value;
    return this;
  }

  /** Sets how many prompt tokens the prefix cache holds. */
  public EngineSettings cacheTokens(int value) {
    checkArgument(value >= 0, "cacheTokens must not be negative: %s", value);
    cacheTokens = value;
    return this;
  }

  /** Sets the delay of cache events, and that one of so many events is lost (0 for none). */
  public EngineSettings cacheEvents(long delayMillis, int loseEvery) {
    checkArgument(delayMillis >= 0, "delayMillis must not be negative: %s", delayMillis);
    checkArgument(loseEvery >= 0, "loseEvery must not be negative: %s", loseEvery);
    cacheEventDelayMillis = delayMillis;
    cacheEventLoseEvery = loseEvery;
    return this;
  }

  /** Sets how old the reported load is. */
  public EngineSettings loadLagMillis(long value) {
    checkArgument(value >= 0, "loadLagMillis must not be negative: %s", value);
    loadLagMillis = value;
    return this;
  }

  /** Sets whether orders with an outdated fencing number are refused. */
  public EngineSettings checkFencing(boolean value) {
    checkFencing = value;
    return this;
  }

  /** Sets the text that crashes the engine when a message holds it; empty for none. */
  public EngineSettings crashMarker(String value) {
    crashMarker = value;
    return this;
  }

  /** Sets how long the engine is down after a crash by the marker. */
  public EngineSettings restartMillis(long value) {
    checkArgument(value >= 0, "restartMillis must not be negative: %s", value);
    restartMillis = value;
    return this;
  }

  /** Sets by how much steps take longer. */
  public EngineSettings slowFactor(double value) {
    checkArgument(value >= 1, "slowFactor must be at least 1: %s", value);
    slowFactor = value;
    return this;
  }

  /** Sets how many answers are lost after the request ran. */
  public EngineSettings loseAnswers(int value) {
    checkArgument(value >= 0, "loseAnswers must not be negative: %s", value);
    loseAnswers = value;
    return this;
  }
}
