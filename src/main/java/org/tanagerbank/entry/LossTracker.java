package org.tanagerbank.entry;

import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Tracks the losses of one request: links lost without progress of the answer, and attempts that
 * may have run.
 *
 * <p>This class performs no I/O and reads no clock. Not thread-safe.
 */
final class LossTracker {
  /**
   * The time in milliseconds for which a request whose attempt was lost is retried while all
   * upstreams are at their load limit. After the loss of an upstream the estimated mean load is too
   * low until the report of its sidecar expires, and part of the answer may already have been
   * delivered. New requests are refused instead of waiting.
   */
  private static final long RECOVERY_MILLIS = 3_000;

  /**
   * The number of links that may be lost in a row without progress of the answer. At the next such
   * loss the attempt is treated as lost.
   */
  private static final int MAX_LOSSES_WITHOUT_PROGRESS = 4;

  private boolean attemptLost;
  private long recoverUntilMillis;
  private int lossesWithoutProgress;
  private long positionAtLoss = -1;

  /**
   * Records the loss of a link, and returns whether too many links in a row were lost without
   * progress.
   *
   * @param position the position of the next byte of the answer
   */
  boolean recordLinkLoss(long position) {
    boolean hasProgressed = position > positionAtLoss;
    positionAtLoss = position;
    lossesWithoutProgress = hasProgressed ? 1 : lossesWithoutProgress + 1;
    return lossesWithoutProgress > MAX_LOSSES_WITHOUT_PROGRESS;
  }

  /** Records that an attempt may have run and that no further part of its answer will arrive. */
  void recordAttemptLoss(long nowMillis) {
    if (!attemptLost) {
      attemptLost = true;
      recoverUntilMillis = nowMillis + RECOVERY_MILLIS;
    }
  }

  /** Returns whether an attempt may have run. */
  boolean mayHaveRun() {
    return attemptLost;
  }

  /** Returns whether the request may still wait for an upstream with free capacity. */
  boolean mayWait(long nowMillis) {
    return attemptLost && nowMillis < recoverUntilMillis;
  }

  /** Returns an error with code UPSTREAM_LOST and verdict MAY_HAVE_RUN. */
  static TanagerException upstreamLost(String message) {
    return TanagerException.mayHaveRun(ErrorCode.UPSTREAM_LOST, message);
  }
}
