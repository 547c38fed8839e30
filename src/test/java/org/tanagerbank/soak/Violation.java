package org.tanagerbank.soak;

/** A promise that a run broke, with the case that shows it. Immutable and thread-safe. */
record Violation(Rule rule, String text) {
  /** The promises that are checked after a run. */
  enum Rule {
    /** A request that was answered as not run did run. */
    REFUSED,
    /** A request that is not idempotent ran more than once. */
    TWICE,
    /** A caller got bytes that are not the whole answer to its request. */
    MIXED,
    /** An upstream ran a request that no caller sent, or with another method or body. */
    UNASKED,
    /** Requests ran at more upstreams than their route allows. */
    ATTEMPTS,
    /** Upstreams were given more time than callers had left. */
    DEADLINE,
    /** A service got more retries in a window than the budget allows. */
    RETRIES,
    /** Requests reached an upstream in a pause that it had asked the gateway for. */
    PAUSE,
    /** Requests reached an upstream long after it had told the gateway that it leaves. */
    LEAVING,
    /** An upstream got many more requests than the limit that it had named to the gateways. */
    LIMIT
  }
}
