package org.tanagerbank.peer;

import java.util.Optional;
import org.tanagerbank.stream.StreamOrigin;

/**
 * Answers an {@link OriginQuestion}. Immutable.
 *
 * @param nonce the nonce of the question
 * @param origin where the stream began; empty if the sender does not know it
 */
record OriginAnswer(long nonce, Optional<StreamOrigin> origin) implements PeerMessage {}
