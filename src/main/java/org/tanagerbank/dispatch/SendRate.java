package org.tanagerbank.dispatch;

import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.tanagerbank.upstream.SendLimit;

/**
 * Bounds the requests of this instance to a process by its share of the limit that the process
 * names.
 *
 * <p>Requests take tokens, which come at the rate of the share. Many instances have shares of much
 * less than a request a second, so the first token comes at a random time, and one that nobody
 * takes for a while is drawn anew: instances that were idle must not all send at once. Not
 * thread-safe; confined to the event loop.
 */
final class SendRate {
  /** The requests a second for which there is room when a process wants none. They show the end. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.25;

  /** The time for which tokens are kept, as far as they are more than one. */
  private static final double BURST_MILLIS = 250;

  /** The time after which a single token that nobody takes is drawn anew. */
  private static final long IDLE_MILLIS = 1_000;

  /** The tokens that all idle instances together keep, on average. */
  private static final double IDLE_TOKENS = 4;

  /** The time for which a limit that was named last is taken to be in force. */
  private static final long CONFIRMED_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final DoubleSupplier share;
  private final RandomGenerator random;
  private SendLimit limit = SendLimit.NONE;
  private long namedAtMillis;
  private double tokens;
  private long refilledAtMillis;
  private long wholeSinceMillis;

  /**
   * Creates the rate of a process that has named no limit.
   *
   * @param share returns the share of this instance
   */
  SendRate(DoubleSupplier share, RandomGenerator random) {
    this.share = share;
    this.random = random;
  }

  /**
   * Records what a response says of the limit. One without a limit ends it only if its request was
   * sent after the limit was named last, as responses overtake each other.
   */
  void record(SendLimit named, long sentAtMillis, long nowMillis) {
    if (!named.isLimited()) {
      limit = sentAtMillis > namedAtMillis ? named : limit;
      return;
    }
    if (!limit.isLimited()) {
      tokens = random.nextDouble();
      refilledAtMillis = nowMillis;
    } else {
      refill(nowMillis);
    }
    limit = named;
    namedAtMillis = nowMillis;
  }

  boolean isLimited() {
    return limit.isLimited();
  }

  /** Returns whether a limit is in force, and was named so lately that it need not be tried. */
  boolean isConfirmed(long nowMillis) {
    return isLimited() && nowMillis - namedAtMillis < CONFIRMED_MILLIS;
  }

  /** Returns the time in milliseconds until a request may be sent; 0 if it may be sent now. */
  long millisUntilRoom(long nowMillis) {
    if (!isLimited()) {
      return 0;
    }
    refill(nowMillis);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perSecond() * MILLIS_PER_SECOND);
  }

  /** Takes the token of a request that is sent. */
  void take() {
    tokens -= isLimited() ? 1 : 0;
  }

  /** Returns the token of a request that was not sent after all. */
  void giveBack() {
    tokens += isLimited() ? 1 : 0;
  }

  private double perSecond() {
    return Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond()) * share.getAsDouble();
  }

  private void refill(long nowMillis) {
    double perMilli = perSecond() / MILLIS_PER_SECOND;
    double maxTokens = Math.max(1, perMilli * BURST_MILLIS);
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
    if (maxTokens == 1 && nowMillis - wholeSinceMillis >= IDLE_MILLIS) {
      wholeSinceMillis = nowMillis;
      tokens = drawIdleToken();
    }
  }

  /** Returns a whole token at a few of the instances, and a part of one at the others. */
  private double drawIdleToken() {
    return random.nextDouble() < IDLE_TOKENS * share.getAsDouble() ? 1 : random.nextDouble();
  }
}
