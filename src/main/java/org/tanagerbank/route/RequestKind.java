package org.tanagerbank.route;

/** States whether the requests of a route may run more than once. */
public enum RequestKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request may run at most once. */
  NON_IDEMPOTENT,
  /**
   * The response is a stream of events. A request may run at most once unless its route is
   * resumable.
   */
  STREAM
}
