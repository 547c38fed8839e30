package org.tanagerbank.peer;

/** A message that one instance sends to another in a datagram. Implementations are immutable. */
public sealed interface PeerMessage
    permits PeerDigest,
        DigestContinuation,
        TopicQuestion,
        TopicAnswer,
        OriginNotice,
        OriginQuestion,
        OriginAnswer {}
