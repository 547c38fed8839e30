package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
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

  /** Returns the trial claims of this instance. */
  ImmutableList<TrialClaim> trialClaims();
}
