package org.tanagerbank.peer;

import java.util.Optional;
import org.tanagerbank.store.RelayedRecords;

/**
 * The answer to a question about a topic. Immutable.
 *
 * @param nonce the nonce of the question
 * @param records the records that the sender has read, or nothing when it cannot provide them
 */
record TopicAnswer(long nonce, Optional<RelayedRecords> records) implements PeerMessage {}
