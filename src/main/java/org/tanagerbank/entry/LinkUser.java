package org.tanagerbank.entry;

import org.tanagerbank.link.Link;

/**
 * Uses an {@link UpstreamLink} that it has acquired, and receives the state of the link.
 *
 * <p>Unless the link is released before, exactly one of {@link #onReady} and {@link #onUnreachable}
 * is called first. After {@link #onReady}, {@link #onLost} may be called once. No call follows
 * {@link UpstreamLink#release}, except one that is already under way. No lock is held during a
 * call.
 */
interface LinkUser {
  /** Called when the link is open and the Hello of the other end has named its incarnation. */
  void onReady(Link link, long incarnation);

  /**
   * Called when no link could be opened, or the link was closed before the Hello of the other end
   * arrived.
   */
  void onUnreachable();

  /** Called when the link was closed or has failed after it was ready. */
  void onLost();
}
