package org.tanagerbank.peer;

/**
 * A request for the records of a topic that another instance has read. Immutable.
 *
 * @param nonce a number that the answer repeats
 * @param topic the name of the topic
 * @param from the offset of the first record that the sender does not have
 */
record TopicQuestion(long nonce, String topic, long from) implements PeerMessage {}
