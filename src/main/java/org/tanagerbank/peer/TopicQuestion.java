package org.tanagerbank.peer;

import org.tanagerbank.store.TopicPosition;

/**
 * A request for the records of a topic that another instance has read. Immutable.
 *
 * @param nonce a number that the answer repeats
 * @param topic the name of the topic
 * @param from the position up to which the sender has read the topic
 */
record TopicQuestion(long nonce, String topic, TopicPosition from) implements PeerMessage {}
