package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.Optional;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.request.Fingerprint;

/**
 * A request that was sent to an upstream. Immutable.
 *
 * @param id tells it from other runs that are lost at the same crash, whichever instance sent them
 * @param holder the execution of the request
 * @param sentAtMillis the time at which it was sent, by the monotonic clock
 * @param crashesBefore the number of crashes of the upstream that were known when it was sent
 * @param depths the number of crashes, one after the other, that were on record for each suspect
 *     when it was sent, without those of 0
 * @param onTrial the suspect of which it is the only run in the fleet, if there is one
 * @param inFlightAtSend the requests that all instances had in flight at the upstream, including
 *     this one
 */
record TrackedRun(
    int id,
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
            id,
            suspects,
            holder,
            process,
            sentAtMillis,
            /* crashesBefore= */ 0,
            depths,
            onTrial,
            inFlightAtSend);
  }

  private record CrashKind(int depth, boolean isOnTrial, boolean isPart) {}

  /** Returns the suspects in lists for which the record of a crash is the same. */
  ImmutableList<ImmutableList<Fingerprint>> suspectsAlike() {
    ImmutableListMultimap<CrashKind, Fingerprint> byKind =
        Multimaps.index(
            suspects.all(),
            s ->
                new CrashKind(
                    depths.getOrDefault(s, 0), onTrial.equals(Optional.of(s)), suspects.isPart(s)));
    return byKind.keySet().stream().map(byKind::get).collect(ImmutableList.toImmutableList());
  }

  /** Returns the record of the crash of the upstream for one of the suspects. */
  CrashRecord crash(Fingerprint suspect, String crashId, long atMillis) {
    return new CrashRecord(
            crashId,
            depths.getOrDefault(suspect, 0) + 1,
            onTrial.equals(Optional.of(suspect)),
            atMillis,
            suspects.conditions(suspect, upstream.softwareHash()))
        .withRuns(ImmutableSet.of(id));
  }
}
