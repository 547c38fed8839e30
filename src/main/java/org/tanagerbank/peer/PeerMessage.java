package org.tanagerbank.peer;

/** What one instance sends to another in a datagram. Implementations are immutable. */
sealed interface PeerMessage permits PeerDigest, TopicQuestion, TopicAnswer {}
