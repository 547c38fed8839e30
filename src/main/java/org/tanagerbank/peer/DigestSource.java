package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;

/** Provides what an instance tells the others. All methods are called on the event loop. */
public interface DigestSource {
  /**
   * Returns the number of requests that this instance has in flight at each upstream, by upstream
   * id. Upstreams without such requests are omitted.
   */
  ImmutableMap<String, Integer> inFlight();

  /** Returns the version of the configuration in force, or 0 if there is none. */
  long configVersion();

  /** Returns whether there are suspects that were in no digest yet. */
  boolean hasUnsentSuspects();

  /** Returns the suspects for the next digest, and counts them as sent. */
  ImmutableList<SuspectRecord> nextSuspects();

  /**
   * Returns what this instance has learned of the speed of upstreams since the last call, and
   * counts it as told.
   */
  default ImmutableList<CapacityNews> nextCapacities() {
    return ImmutableList.of();
  }

  /** Returns all that is known of the speed of upstreams, for an instance that has just started. */
  default ImmutableList<CapacityNews> capacityEstimates() {
    return ImmutableList.of();
  }

  /** Returns the trial claims of this instance. */
  ImmutableList<TrialClaim> trialClaims();
}
