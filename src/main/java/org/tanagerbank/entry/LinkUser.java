package org.tanagerbank.entry;

import org.tanagerbank.link.Link;

/**
 * Something that a request has in flight on a link.
 *
 * <p>First exactly one of {@link #ready} and {@link #unreachable} is called, and after {@code
 * ready} possibly {@link #lost}. No lock is held during a call.
 */
interface LinkUser {
  /** The link is open and leads to an incarnation. */
  void ready(Link link, long incarnation);

  /** No link could be opened. */
  void unreachable();

  /** The link is gone. */
  void lost();
}
