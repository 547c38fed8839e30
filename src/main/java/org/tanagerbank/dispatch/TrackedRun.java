package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.request.Fingerprint;

/**
 * A request that was sent to an upstream. Immutable.
 *
 * @param holder the execution of the request
 * @param sentAtMillis the time at which it was sent, by the monotonic clock
 * @param crashesBefore the number of crashes of the upstream that were known when it was sent
 * @param depths the number of crashes, one after the other, that were on record for each suspect
 *     when it was sent
 * @param onTrial the suspect of which it is the only run in the fleet, if there is one
 * @param inFlightAtSend the requests that all instances had in flight at the upstream, including
 *     this one
 */
record TrackedRun(
    RequestSuspects suspects,
    Object holder,
    UpstreamHandle upstream,
    long sentAtMillis,
    int crashesBefore,
    ImmutableMap<Fingerprint, Integer> depths,
    Optional<Fingerprint> onTrial,
    int inFlightAtSend) {
  /**
   * Returns the run at the process to which it was sent, which may have followed that of its
   * upstream before the report of the start was read.
   */
  TrackedRun atItsProcess(long nowMillis) {
    UpstreamHandle process = upstream.processSince(sentAtMillis, nowMillis);
    return process == upstream
        ? this
        : new TrackedRun(
            suspects,
            holder,
            process,
            sentAtMillis,
            /* crashesBefore= */ 0,
            depths,
            onTrial,
            inFlightAtSend);
  }

  /** Returns the record of the crash of the upstream for one of the suspects. */
  CrashRecord crash(Fingerprint suspect, String crashId, long atMillis) {
    return new CrashRecord(
            crashId,
            depths.get(suspect) + 1,
            onTrial.equals(Optional.of(suspect)),
            atMillis,
            suspects.conditions(suspect, upstream.softwareHash()))
        .withCompanions(suspects.companions(suspect));
  }
}
