package org.tanagerbank.quarantine;

/** What is known of a fingerprint. */
public enum Standing {
  /** Nothing speaks against it. */
  CLEAR,
  /** It was in flight at a crash and must run alone. */
  SUSPECT,
  /** It crashed engines and must not run. */
  QUARANTINED
}
