package org.tanagerbank.losses;

import java.time.Instant;

/**
 * A request whose end is known. Immutable.
 *
 * @param receivedAt the time at which its gateway had read it
 * @param route the name of its route, or {@link #NO_ROUTE}
 */
record EndedRequest(Instant receivedAt, String route, Outcome outcome, Cause cause) {
  /** The route of requests that were refused before their route was known. */
  static final String NO_ROUTE = "(none)";
}
