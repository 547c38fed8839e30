package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableSet;
import org.tanagerbank.contract.Fingerprint;

/**
 * One crash of an engine and what was in flight at it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param crashId unique to the crash, so that a report heard twice counts once
 * @param inFlight the fingerprints in flight
 * @param atMillis when it happened
 */
public record CrashReport(String crashId, ImmutableSet<Fingerprint> inFlight, long atMillis) {
  /** Returns whether a single fingerprint was in flight, so that it alone can be the cause. */
  public boolean isSolo() {
    return inFlight.size() == 1;
  }
}
