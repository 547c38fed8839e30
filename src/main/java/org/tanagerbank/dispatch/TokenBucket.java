package org.tanagerbank.dispatch;

import java.util.random.RandomGenerator;

/**
 * The tokens of this instance for the requests that one process takes from all instances.
 *
 * <p>Tokens come at the rate of the share of this instance. Many instances have shares of much less
 * than a request a second, so the first token comes at a random time, and one that nobody takes for
 * a while is drawn anew: instances that were idle must not all send at once. The caller passes the
 * rate and the share, which may change at any time. Not thread-safe; confined to the event loop.
 */
final class TokenBucket {
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Which tokens are kept. Immutable.
   *
   * @param burstMillis the time for which tokens are kept, as far as they are more than one
   * @param idleTokens the tokens that all idle instances together keep, on average
   * @param carriedTokens the part of a token that is kept beside a single one
   */
  record Keeping(double burstMillis, double idleTokens, double carriedTokens) {}

  private final Keeping keeping;
  private final RandomGenerator random;
  private double tokens;
  private long refilledAtMillis;
  private long wholeSinceMillis;

  TokenBucket(Keeping keeping, RandomGenerator random) {
    this.keeping = keeping;
    this.random = random;
  }

  /** Begins with a random part of a token. */
  void start(long nowMillis) {
    tokens = random.nextDouble();
    refilledAtMillis = nowMillis;
  }

  /**
   * Adds the tokens that have come until now.
   *
   * @param perSecond the tokens a second of this instance
   * @param share the share of this instance in those of all
   * @param idleMillis the time after which a single token that nobody takes is drawn anew
   */
  void refill(double perSecond, double share, long idleMillis, long nowMillis) {
    double perMilli = perSecond / MILLIS_PER_SECOND;
    double burstTokens = Math.max(1, perMilli * keeping.burstMillis());
    double maxTokens = Math.max(1 + keeping.carriedTokens(), burstTokens);
    boolean wasWhole = tokens >= 1;
    double refilled = tokens + perMilli * (nowMillis - refilledAtMillis);
    tokens = Math.min(maxTokens, refilled);
    refilledAtMillis = nowMillis;
    if (refilled < 1) {
      return;
    }
    if (!wasWhole) {
      wholeSinceMillis = nowMillis - (long) ((refilled - 1) / perMilli);
    }
    if (burstTokens == 1 && nowMillis - wholeSinceMillis >= idleMillis) {
      wholeSinceMillis = nowMillis;
      tokens = drawIdleToken(share);
    }
  }

  /** Draws a single whole token anew, after a time without requests. */
  void redraw(double perSecond, double share) {
    if (tokens >= 1 && perSecond / MILLIS_PER_SECOND * keeping.burstMillis() <= 1) {
      tokens = drawIdleToken(share);
    }
  }

  /** Returns a whole token at a few of the instances, and a part of one at the others. */
  private double drawIdleToken(double share) {
    return random.nextDouble() < keeping.idleTokens() * share ? 1 : random.nextDouble();
  }

  /** Returns the time in milliseconds until there is a whole token; 0 if there is one. */
  long millisUntilWhole(double perSecond) {
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perSecond * MILLIS_PER_SECOND);
  }

  /** Takes a token, also one that is still to come. */
  void take() {
    tokens -= 1;
  }

  /** Returns a token that was not used after all. */
  void giveBack() {
    tokens += 1;
  }
}
