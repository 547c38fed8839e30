package org.tanagerbank.peer;

import org.tanagerbank.stream.StreamOrigin;

/**
 * Tells where a stream began. Immutable.
 *
 * @param streamId the id of the request that brought the first event
 */
record OriginNotice(String streamId, StreamOrigin origin) implements PeerMessage {}
