package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableSet;
import org.tanagerbank.request.Fingerprint;

/**
 * Reports one crash of an engine and the requests that were in flight at that time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param crashId unique to the crash, so that a report that is received twice counts once
 * @param inFlight the fingerprints of the requests in flight
 * @param atMillis the time of the crash, in milliseconds
 */
public record CrashReport(String crashId, ImmutableSet<Fingerprint> inFlight, long atMillis) {
  /** Returns whether only one fingerprint was in flight, so that only it can be the cause. */
  public boolean hasSingleFingerprint() {
    return inFlight.size() == 1;
  }
}
