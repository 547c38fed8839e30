package org.tanagerbank.quarantine;

/** States whether requests with a fingerprint may run. */
public enum QuarantineStatus {
  /** No crash is on record; the request may run with others. */
  CLEAR,
  /** The fingerprint was in flight at a crash; the request must run alone. */
  SUSPECT,
  /** The fingerprint crashed engines; the request must not run. */
  QUARANTINED
}
