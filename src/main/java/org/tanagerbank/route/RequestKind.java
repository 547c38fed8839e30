package org.tanagerbank.route;

/** What a route says about running its requests more than once. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run once at most. */
  NON_IDEMPOTENT,
  /** Answered by a series of events; may run once at most unless the route is resumable. */
  STREAM
}
