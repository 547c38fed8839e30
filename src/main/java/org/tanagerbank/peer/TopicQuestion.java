package org.tanagerbank.peer;

import java.util.OptionalInt;
import org.tanagerbank.store.TopicPosition;

/**
 * A request for the records of a topic that another instance has read. Immutable.
 *
 * @param nonce a number that the answer repeats
 * @param topic the name of the topic
 * @param from the position up to which the sender has read the topic
 * @param valueFrom the byte of the value of the first record from which the sender wants a piece if
 *     the record does not fit a datagram; empty if it takes whole records only
 */
record TopicQuestion(long nonce, String topic, TopicPosition from, OptionalInt valueFrom)
    implements PeerMessage {}
