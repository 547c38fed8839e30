package org.tanagerbank.route;

/**
 * Limits on the size of a caller's requests and on the duration of its connections. Immutable.
 *
 * @param maxHeaderBytes the largest size of a request head in bytes
 * @param maxBodyBytes the largest size of a request body in bytes
 * @param headerTimeoutMillis the longest time between the first and the last byte of a request
 *     head, in milliseconds
 * @param idleTimeoutMillis the time in milliseconds for which a connection may stay open without a
 *     request
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits that apply until the first configuration is loaded. */
  public static final CallerLimits INITIAL = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
