package org.tanagerbank.entry;

import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;

/**
 * Counts what a request has lost on its way: links, and attempts that may have run.
 *
 * <p>Pure decision code; not thread-safe.
 */
final class LossTracker {
  /**
   * How long a request whose attempt was lost is tried again while all upstreams are at their
   * bound. After the loss of an upstream the estimated mean is too low until its sidecar's report
   * expires, and the answer may already be half delivered. No new request waits.
   */
  private static final long RECOVERY_MILLIS = 3_000;

  /** Links lost without any progress of the answer before the request counts as lost. */
  private static final int MAX_FRUITLESS_LOSSES = 4;

  private boolean attemptLost;
  private long recoverUntilMillis;
  private int fruitlessLosses;
  private long positionAtLoss = -1;

  /** Notes a lost link, and returns whether links are lost too often without progress. */
  boolean linkLost(long position) {
    boolean progress = position > positionAtLoss;
    positionAtLoss = position;
    fruitlessLosses = progress ? 1 : fruitlessLosses + 1;
    return fruitlessLosses > MAX_FRUITLESS_LOSSES;
  }

  /** Notes that an attempt may have run and that no more of its answer will come. */
  void attemptLost(long nowMillis) {
    if (!attemptLost) {
      attemptLost = true;
      recoverUntilMillis = nowMillis + RECOVERY_MILLIS;
    }
  }

  /** Returns whether an attempt may have run. */
  boolean mayHaveRun() {
    return attemptLost;
  }

  /** Returns whether the request may wait for an upstream with room. */
  boolean mayWait(long nowMillis) {
    return attemptLost && nowMillis < recoverUntilMillis;
  }

  static TanagerException upstreamLost(String message) {
    return TanagerException.mayHaveRun(ErrorCode.UPSTREAM_LOST, message);
  }
}
