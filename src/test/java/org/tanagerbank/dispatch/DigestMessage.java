package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;

/** What one simulated gateway tells another, on its way. Immutable. */
record DigestMessage(
    long arrivesAtMillis,
    int from,
    int to,
    ImmutableMap<String, Integer> inFlight,
    ImmutableList<SuspectRecord> suspects,
    ImmutableList<TrialClaim> claims) {}
