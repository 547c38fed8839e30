package org.tanagerbank.peer;

import java.util.Optional;

/**
 * What did not fit into the datagram of a digest. Immutable.
 *
 * @param sender the instance that sends the digest
 * @param number the number of the digest
 * @param work the sender's requests at further upstreams, if there are any
 * @param news what the digest could not hold
 */
record DigestContinuation(
    PeerAddress sender, long number, Optional<WorkRange> work, DigestNews news)
    implements PeerMessage {}
