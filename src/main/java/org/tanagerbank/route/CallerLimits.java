package org.tanagerbank.route;

/**
 * What a caller may send, and how long it may take or stay idle. Immutable.
 *
 * @param maxHeaderBytes the largest request head
 * @param maxBodyBytes the largest request body
 * @param headerTimeoutMillis the longest time between the first and the last byte of a head
 * @param idleTimeoutMillis how long a connection may stay open without a request
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits before the first configuration is known. */
  public static final CallerLimits INITIAL = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
