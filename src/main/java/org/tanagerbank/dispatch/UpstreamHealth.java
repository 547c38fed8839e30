package org.tanagerbank.dispatch;

/**
 * How often an upstream failed lately, by the requests that were sent to it.
 *
 * <p>An upstream that fails often is avoided for a while, then tried with few requests. Decision
 * code; confined to one thread.
 */
final class UpstreamHealth {
  /** The weight of one outcome in the moving share of failures. */
  private static final double WEIGHT = 0.15;

  /** Above this share of failures an upstream is avoided; some routes fail a seventh by nature. */
  private static final double AVOIDED_SHARE = 0.3;

  /** A connection that cannot be opened means that the upstream is down, whatever came before. */
  private static final long DOWN_MILLIS = 500;

  /** How long an upstream is avoided before one request tries it again. */
  private static final long TRIAL_MILLIS = 1_000;

  private double failures;
  private long downUntil = Long.MIN_VALUE;
  private long lastTrialAt = Long.MIN_VALUE / 2;

  void succeeded() {
    failures *= 1 - WEIGHT;
    downUntil = Long.MIN_VALUE;
  }

  void failed() {
    failures = failures * (1 - WEIGHT) + WEIGHT;
  }

  void notConnected(long nowMillis) {
    downUntil = nowMillis + DOWN_MILLIS;
  }

  /** Returns whether other upstreams are to be preferred. */
  boolean isAvoided(long nowMillis) {
    if (nowMillis < downUntil) {
      return true;
    }
    return failures > AVOIDED_SHARE && nowMillis - lastTrialAt < TRIAL_MILLIS;
  }

  /** Notes that a request is sent, which is a trial when the upstream fails often. */
  void sent(long nowMillis) {
    if (failures > AVOIDED_SHARE) {
      lastTrialAt = nowMillis;
    }
  }

  double failureShare() {
    return failures;
  }
}
