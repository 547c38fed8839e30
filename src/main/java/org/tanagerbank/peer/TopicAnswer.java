package org.tanagerbank.peer;

import java.util.Optional;
import org.tanagerbank.feed.RelayedRead;

/**
 * The answer to a question about a topic. Immutable.
 *
 * @param nonce that of the question
 * @param read what the sender has read, if it can tell
 */
record TopicAnswer(long nonce, Optional<RelayedRead> read) implements PeerMessage {}
