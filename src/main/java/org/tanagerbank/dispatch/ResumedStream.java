package org.tanagerbank.dispatch;

import org.tanagerbank.stream.StreamOrigin;

/**
 * A stream that a request takes up. Immutable.
 *
 * @param id the id of the request that brought the first event; empty if it is not known
 * @param origin what wrote the events that the caller has
 */
record ResumedStream(String id, StreamOrigin origin) {}
