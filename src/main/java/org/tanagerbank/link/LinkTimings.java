package org.tanagerbank.link;

/**
 * The timeouts and intervals of the link layer, in milliseconds.
 *
 * @param connectTimeoutMillis the maximum time to open a link
 * @param pingIntervalMillis the time between pings while the heartbeat is on
 * @param silenceTimeoutMillis the time without a received frame after which a link with heartbeat
 *     is closed
 * @param openerIdleTimeoutMillis the time without use after which the opener closes a link
 * @param acceptorIdleTimeoutMillis the time without use after which the acceptor closes a link
 */
record LinkTimings(
    long connectTimeoutMillis,
    long pingIntervalMillis,
    long silenceTimeoutMillis,
    long openerIdleTimeoutMillis,
    long acceptorIdleTimeoutMillis) {
  // The acceptor's idle timeout is longer than the opener's. Otherwise the acceptor could close a
  // link just as the opener sends on it. It only has to remove links whose opener is gone.
  static final LinkTimings DEFAULT = new LinkTimings(2_000, 500, 2_000, 60_000, 75_000);
}
