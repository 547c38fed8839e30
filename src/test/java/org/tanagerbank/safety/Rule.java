package org.tanagerbank.safety;

/**
 * A rule of the protocol on which the safety guarantees depend.
 *
 * <p>A test disables one rule at a time to show that the oracle detects its absence.
 */
enum Rule {
  /** A Query for an unknown request seals the request, so that it never runs. */
  SEAL_ON_QUERY,
  /** A refusal seals the request id, so that a delayed copy of the request never runs. */
  SEAL_ON_REFUSAL,
  /** The ledger does not treat an evicted request id as an unknown one. */
  REMEMBER_EVICTED_IDS,
  /** A sidecar does not run a request that is bound to another incarnation. */
  REJECT_OTHER_INCARNATION,
  /** A request with a known key does not run again. */
  RUN_KEY_ONCE,
  /** A request that reuses a key with another body is refused. */
  CHECK_KEY_CONTENT,
  /** A refusal also seals the key of a request that must not run twice. */
  SEAL_KEY_ON_REFUSAL,
  /** An attempt that the sidecar answered with MOVED does not run later. */
  SEAL_MOVED_ATTEMPT,
  /** The first claim in log order binds a key to its upstream. */
  FIRST_CLAIM_BINDS,
  /** An answer is complete only if its length equals the length in the end mark. */
  CHECK_END_MARK_LENGTH,
  /** The entry drops frames of attempts other than the current one. */
  DROP_OTHER_ATTEMPTS
}
