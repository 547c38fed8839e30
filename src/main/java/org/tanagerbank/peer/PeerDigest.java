package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;

/**
 * The state that one instance sends to the others. Immutable.
 *
 * @param sender the instance that sends the digest
 * @param number a number that increases with each digest of an incarnation
 * @param configVersion the version of the configuration in force at the sender
 * @param inFlight the number of requests that the sender has in flight, by upstream id; upstreams
 *     without requests are absent
 * @param placements the sender's latest placements, including those of some earlier digests
 * @param peers other instances that the sender has found; empty in most digests
 * @param suspects requests that were in flight at crashes of upstreams, with times relative to now
 * @param trialClaims all claims of the sender to run a suspect
 * @param caches prompt parts that engines hold; sent only to instances that have just started
 */
public record PeerDigest(
    PeerAddress sender,
    long number,
    long configVersion,
    ImmutableMap<String, Integer> inFlight,
    ImmutableList<PeerPlacement> placements,
    ImmutableList<PeerAddress> peers,
    ImmutableList<SuspectRecord> suspects,
    ImmutableList<TrialClaim> trialClaims,
    ImmutableList<CachedParts> caches)
    implements PeerMessage {}
