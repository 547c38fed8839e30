package org.tanagerbank.peer;

/**
 * Asks for the records of a topic that another instance has read. Immutable.
 *
 * @param nonce repeated in the answer
 * @param topic the topic
 * @param from the offset of the first record that the sender lacks
 */
record TopicQuestion(long nonce, String topic, long from) implements PeerMessage {}
