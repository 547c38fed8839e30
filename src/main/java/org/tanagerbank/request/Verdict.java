package org.tanagerbank.request;

/**
 * States whether a request may have run.
 *
 * <p>{@link #NOT_RUN} is a guarantee: it is given only when the request never left the entry, or
 * when the sidecar has recorded that it refuses the request permanently. Immutable and thread-safe.
 */
public enum Verdict {
  /** The request did not run and will not run later. */
  NOT_RUN,
  /** The request may have run; this cannot be determined. */
  MAY_HAVE_RUN,
  /** The request ran. */
  RAN;

  /**
   * Returns whether a request with this verdict may be retried on another upstream.
   *
   * @param idempotent whether running the request twice is harmless
   */
  public boolean allowsRetry(boolean idempotent) {
    return this == NOT_RUN || (idempotent && this == MAY_HAVE_RUN);
  }
}
