package org.tanagerbank.dispatch;

import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.tanagerbank.upstream.SendLimit;

/**
 * Bounds the requests of this instance to a process by its share of the limit that the process
 * names.
 *
 * <p>Requests take tokens of a {@link TokenBucket}, which come at the rate of the share. Not
 * thread-safe; confined to the event loop.
 */
final class SendRate {
  /** The requests a second for which there is room when a process wants none. They show the end. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.25;

  private static final TokenBucket.Keeping KEEPING =
      new TokenBucket.Keeping(/* burstMillis= */ 250, /* idleTokens= */ 4, /* carriedTokens= */ 0);

  /** The time after which a single token that nobody takes is drawn anew. */
  private static final long IDLE_MILLIS = 1_000;

  /** The time for which a limit that was named last is taken to be in force. */
  private static final long CONFIRMED_MILLIS = 1_000;

  private final DoubleSupplier share;
  private final TokenBucket bucket;
  private SendLimit limit = SendLimit.NONE;
  private long namedAtMillis;

  /**
   * Creates the rate of a process that has named no limit.
   *
   * @param share returns the share of this instance
   */
  SendRate(DoubleSupplier share, RandomGenerator random) {
    this.share = share;
    this.bucket = new TokenBucket(KEEPING, random);
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
      bucket.start(nowMillis);
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
    return bucket.millisUntilWhole(perSecond());
  }

  /** Takes the token of a request that is sent. */
  void take() {
    if (isLimited()) {
      bucket.take();
    }
  }

  /** Returns the token of a request that was not sent after all. */
  void giveBack() {
    if (isLimited()) {
      bucket.giveBack();
    }
  }

  private void refill(long nowMillis) {
    bucket.refill(perSecond(), share.getAsDouble(), IDLE_MILLIS, nowMillis);
  }

  private double perSecond() {
    return Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond()) * share.getAsDouble();
  }
}
