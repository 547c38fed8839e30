package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.quarantine.TrialClaim;

/**
 * The state that one instance sends to the others. Immutable.
 *
 * @param sender the instance that sends the digest
 * @param number a number that increases with each digest of an incarnation
 * @param configVersion the version of the configuration in force at the sender
 * @param work the requests that the sender has in flight
 * @param trialClaims all claims of the sender to run a suspect
 * @param news what the sender tells besides its state
 */
public record PeerDigest(
    PeerAddress sender,
    long number,
    long configVersion,
    WorkRange work,
    ImmutableList<TrialClaim> trialClaims,
    DigestNews news)
    implements PeerMessage {}
