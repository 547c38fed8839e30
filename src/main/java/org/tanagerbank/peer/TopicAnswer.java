package org.tanagerbank.peer;

import java.util.Optional;
import org.tanagerbank.store.RelayedRecords;

/**
 * The answer to a question about a topic. Immutable.
 *
 * @param nonce the nonce of the question
 * @param era the era of the store in which the sender has read the topic; 0 if it has not
 * @param records the records that the sender has read, or nothing when it cannot provide them
 */
record TopicAnswer(long nonce, long era, Optional<RelayedRecords> records) implements PeerMessage {}
