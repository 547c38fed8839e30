package org.tanagerbank.peer;

/**
 * Asks where a stream began. Immutable.
 *
 * @param nonce a number that the answer repeats
 * @param streamId the id of the request that brought the first event
 */
record OriginQuestion(long nonce, String streamId) implements PeerMessage {}
