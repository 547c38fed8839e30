package org.tanagerbank.dispatch;

/**
 * Tells since when the event loop has run without a pause, as after a pause of the process what
 * arrives may have waited for long. Not thread-safe; confined to the event loop.
 */
final class LoopContinuity {
  /** The time without a beat, in milliseconds, that counts as a pause; beats come each 250 ms. */
  static final long PAUSE_MILLIS = 750;

  /** The time after a pause, in milliseconds, in which everything that had waited is read. */
  static final long CATCH_UP_MILLIS = 500;

  private long lastBeatMillis = Long.MIN_VALUE;
  private long pausedAtMillis = Long.MIN_VALUE;
  private long resumedAtMillis = Long.MIN_VALUE;

  /** Records that the loop runs; must be called periodically. */
  void beat(long nowMillis) {
    if (isPauseSinceLastBeat(nowMillis)) {
      pausedAtMillis = lastBeatMillis;
      resumedAtMillis = nowMillis;
    }
    lastBeatMillis = nowMillis;
  }

  /** Returns the latest time up to which everything that had arrived was certainly read. */
  long caughtUpMillis(long nowMillis) {
    if (isPauseSinceLastBeat(nowMillis)) {
      return lastBeatMillis;
    }
    boolean isCatchingUp =
        resumedAtMillis != Long.MIN_VALUE && nowMillis - resumedAtMillis < CATCH_UP_MILLIS;
    return isCatchingUp ? pausedAtMillis : nowMillis;
  }

  private boolean isPauseSinceLastBeat(long nowMillis) {
    return lastBeatMillis != Long.MIN_VALUE && nowMillis - lastBeatMillis > PAUSE_MILLIS;
  }
}
