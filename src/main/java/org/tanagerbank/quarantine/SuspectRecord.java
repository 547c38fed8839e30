package org.tanagerbank.quarantine;

import org.tanagerbank.request.Fingerprint;

/**
 * The evidence on one fingerprint, as processes send it to each other. Clocks of processes differ,
 * so the times in it are relative to the time of sending: never positive.
 *
 * <p>Immutable and thread-safe.
 */
public record SuspectRecord(Fingerprint fingerprint, CrashEvidence evidence) {
  /** Returns whether the latest crash was longer ago than a time in milliseconds. */
  public boolean isOlderThan(long millis) {
    return evidence.lastCrashMillis() < -millis;
  }
}
