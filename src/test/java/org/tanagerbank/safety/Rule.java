package org.tanagerbank.safety;

/** A safety rule that a test can take out, to show that the oracle notices its absence. */
enum Rule {
  /** A Query for an unknown request seals it. */
  SEAL_ON_QUERY,
  /** A refusal seals the request id. */
  SEAL_ON_REFUSAL,
  /** An evicted request id is not taken for an unknown one. */
  REMEMBER_EVICTED,
  /** A request bound to another incarnation is not run. */
  INCARNATION,
  /** A known key does not run again. */
  KEY,
  /** A key with another body is refused. */
  KEY_CONTENT,
  /** A refusal seals the key of a request that must not run twice. */
  KEY_SEAL,
  /** An attempt that was answered with MOVED is not run later. */
  MOVED_ATTEMPT,
  /** The first claim in log order binds a key. */
  CLAIM_ORDER,
  /** An answer is whole only when the end mark gives its length. */
  END_MARK,
  /** Frames of other attempts are dropped. */
  ATTEMPT
}
