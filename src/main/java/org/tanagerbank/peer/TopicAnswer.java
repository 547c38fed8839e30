package org.tanagerbank.peer;

import java.util.Optional;
import java.util.OptionalInt;
import org.tanagerbank.store.RelayedRecords;

/**
 * The answer to a question about a topic. Immutable.
 *
 * @param nonce the nonce of the question
 * @param era the era of the store in which the sender has read the topic; 0 if it has not
 * @param records the records that the sender has read, or nothing when it cannot provide them
 * @param valueBytes the length in bytes of the value of the only record, which is a piece of it;
 *     empty if values are whole
 */
record TopicAnswer(long nonce, long era, Optional<RelayedRecords> records, OptionalInt valueBytes)
    implements PeerMessage {}
