package org.tanagerbank.quarantine;

/**
 * Trials of a fingerprint that did not show whether it crashes upstreams: they were refused, failed
 * or given up.
 *
 * <p>Each lengthens the pause before the next trial, so that the number of trials stays small
 * however often the request comes. Immutable and thread-safe.
 *
 * @param count the number of these trials, as far as is known, without misdirected ones
 * @param lastAtMillis the time at which the last one ended, in milliseconds
 */
public record UndecidedTrials(int count, long lastAtMillis) {
  /** No undecided trial. */
  public static final UndecidedTrials NONE = new UndecidedTrials(0, CrashEvidence.NEVER);

  private static final long FIRST_PAUSE_MILLIS = 1_000;
  private static final long MAX_PAUSE_MILLIS = 300_000;

  /** The base-2 logarithm of the factor from one pause to the next. */
  private static final int PAUSE_GROWTH_BITS = 4;

  private static final int MAX_COUNT = 8;

  UndecidedTrials plusOne(long nowMillis) {
    return new UndecidedTrials(Math.min(count + 1, MAX_COUNT), nowMillis);
  }

  /** Adds a trial that met another process, which does not lengthen the pauses after it. */
  UndecidedTrials plusMisdirected(long nowMillis) {
    return new UndecidedTrials(count, nowMillis);
  }

  /** Merges two observations; the order does not matter. */
  UndecidedTrials mergeWith(UndecidedTrials other) {
    return new UndecidedTrials(
        Math.max(count, other.count), Math.max(lastAtMillis, other.lastAtMillis));
  }

  UndecidedTrials shiftBy(long millis) {
    return isNone() ? this : new UndecidedTrials(count, lastAtMillis + millis);
  }

  /** Returns the time from which the next trial may start, in milliseconds. */
  long nextTrialMillis() {
    if (isNone()) {
      return CrashEvidence.NEVER;
    }
    long pause = FIRST_PAUSE_MILLIS << (PAUSE_GROWTH_BITS * Math.max(0, count - 1));
    return lastAtMillis + Math.min(pause, MAX_PAUSE_MILLIS);
  }

  /** Returns whether there was no such trial. */
  public boolean isNone() {
    return lastAtMillis == CrashEvidence.NEVER;
  }
}
