package org.tanagerbank.quarantine;

/**
 * One crash of an upstream at which a request was in flight.
 *
 * <p>Immutable and thread-safe.
 *
 * @param crashId identifies the crash; all processes that observe a crash use the same id
 * @param depth 1 more than the depth of the crashes that were known when the request was sent. Runs
 *     that were sent at the same time have the same depth, however many of them there were
 * @param isIsolated whether the request was sent with the precautions for suspects: alone at its
 *     upstream, or as the only run of its fingerprint in the fleet
 * @param atMillis the time of the crash, in milliseconds
 */
public record CrashRecord(String crashId, int depth, boolean isIsolated, long atMillis) {
  /** Merges two observations of the same crash; the order does not matter. */
  CrashRecord mergeWith(CrashRecord other) {
    return new CrashRecord(
        crashId,
        Math.max(depth, other.depth),
        isIsolated && other.isIsolated,
        Math.min(atMillis, other.atMillis));
  }

  CrashRecord shiftBy(long millis) {
    return new CrashRecord(crashId, depth, isIsolated, atMillis + millis);
  }
}
