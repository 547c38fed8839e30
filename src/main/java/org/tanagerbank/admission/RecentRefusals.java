package org.tanagerbank.admission;

/**
 * The times to return of requests that were refused lately, by a hash of their content. A newer
 * refusal may replace an older one, whose request then counts as new. Not thread-safe.
 */
final class RecentRefusals {
  /** The number of refusals that are kept; a power of two. They take 8 kB for each service. */
  private static final int SIZE = 512;

  private final long[] identities = new long[SIZE];
  private final long[] returnsAtMillis = new long[SIZE];

  void record(long identity, long returnAtMillis) {
    identities[index(identity)] = identity;
    returnsAtMillis[index(identity)] = returnAtMillis;
  }

  /** Returns the time until a refused request may return, or 0 if it may. */
  long millisUntilReturn(long identity, long nowMillis) {
    return identities[index(identity)] == identity
        ? Math.max(0, returnsAtMillis[index(identity)] - nowMillis)
        : 0;
  }

  private static int index(long identity) {
    return (int) (identity ^ (identity >>> 32)) & (SIZE - 1);
  }
}
