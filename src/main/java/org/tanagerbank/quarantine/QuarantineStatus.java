package org.tanagerbank.quarantine;

/** States whether requests with a fingerprint may run. */
public enum QuarantineStatus {
  /** No crash counts against it; the request may run with others. */
  CLEAR,
  /**
   * The fingerprint was in flight at a crash. Where a process sees all work of its upstream, the
   * request must run alone.
   */
  SUSPECT,
  /** The fingerprint was in flight at several crashes; it may run once at a time in the fleet. */
  TRIAL_ONLY,
  /** The fingerprint crashed upstreams; the request must not run. */
  QUARANTINED
}
