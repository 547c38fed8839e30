package org.tanagerbank.link;

/**
 * The times of the link layer, in milliseconds.
 *
 * @param connect how long opening a link may take
 * @param ping the time between pings while the heartbeat is on
 * @param silence the time without any frame after which a link counts as silent
 * @param openerIdle the time without use after which the opening side closes a link
 * @param acceptorIdle the time without use after which the accepting side closes a link
 */
record LinkTimings(long connect, long ping, long silence, long openerIdle, long acceptorIdle) {
  // The acceptor waits longer than the opener, so that it does not close a link at the moment the
  // opener sends on it; it only removes links whose opener is gone.
  static final LinkTimings DEFAULT = new LinkTimings(2_000, 500, 2_000, 60_000, 75_000);
}
