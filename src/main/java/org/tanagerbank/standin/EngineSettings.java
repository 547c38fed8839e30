package org.tanagerbank.standin;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of an {@link EngineStandin}.
 *
 * <p>Mutable; all values must be set before the engine is created. Not thread-safe.
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
  int loseFirstAnswers;

  private EngineSettings() {}

  /** Returns the default settings. */
  public static EngineSettings defaults() {
    return new EngineSettings();
  }

  /** Sets the duration of a step, which must be positive. */
  public EngineSettings stepMillis(long value) {
    checkArgument(value > 0, "stepMillis must be positive: %s", value);
    stepMillis = value;
    return this;
  }

  /** Sets the maximum number of requests that run at a time, which must be positive. */
  public EngineSettings maxBatch(int value) {
    checkArgument(value > 0, "maxBatch must be positive: %s", value);
    maxBatch = value;
    return this;
  }

  /** Sets the maximum number of uncached prompt tokens that one step processes. */
  public EngineSettings prefillTokensPerStep(int value) {
    checkArgument(value > 0, "prefillTokensPerStep must be positive: %s", value);
    prefillTokensPerStep = value;
    return this;
  }

  /** Sets the size of the prefix cache in prompt tokens; 0 disables caching. */
  public EngineSettings cacheTokens(int value) {
    checkArgument(value >= 0, "cacheTokens must not be negative: %s", value);
    cacheTokens = value;
    return this;
  }

  /**
   * Sets the delay and the loss of cache events.
   *
   * @param delayMillis the time until an event becomes visible
   * @param loseEvery every Nth event is lost; 0 for none
   */
  public EngineSettings cacheEvents(long delayMillis, int loseEvery) {
    checkArgument(delayMillis >= 0, "delayMillis must not be negative: %s", delayMillis);
    checkArgument(loseEvery >= 0, "loseEvery must not be negative: %s", loseEvery);
    cacheEventDelayMillis = delayMillis;
    cacheEventLoseEvery = loseEvery;
    return this;
  }

  /** Sets the age of the reported load. */
  public EngineSettings loadLagMillis(long value) {
    checkArgument(value >= 0, "loadLagMillis must not be negative: %s", value);
    loadLagMillis = value;
    return this;
  }

  /** Sets whether orders with an outdated fencing number are rejected. */
  public EngineSettings checkFencing(boolean value) {
    checkFencing = value;
    return this;
  }

  /** Sets a text that crashes the engine if a message contains it; empty for none. */
  public EngineSettings crashMarker(String value) {
    crashMarker = value;
    return this;
  }

  /** Sets how long the engine stays down after a crash that the crash marker caused. */
  public EngineSettings restartMillis(long value) {
    checkArgument(value >= 0, "restartMillis must not be negative: %s", value);
    restartMillis = value;
    return this;
  }

  /** Sets the factor by which steps take longer, at least 1. */
  public EngineSettings slowFactor(double value) {
    checkArgument(value >= 1, "slowFactor must be at least 1: %s", value);
    slowFactor = value;
    return this;
  }

  /** Sets how many of the first requests run but lose their answer. */
  public EngineSettings loseFirstAnswers(int value) {
    checkArgument(value >= 0, "loseAnswers must not be negative: %s", value);
    loseFirstAnswers = value;
    return this;
  }
}
