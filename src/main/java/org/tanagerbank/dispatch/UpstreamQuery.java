package org.tanagerbank.dispatch;

import java.util.function.BooleanSupplier;
import org.tanagerbank.upstream.ConnectionPool;

/**
 * Permission for one query to an upstream, which counts as a request. Immutable.
 *
 * @param connections the connections to the upstream
 * @param maySend returns whether the query may still be sent, to be asked once a connection is open
 */
public record UpstreamQuery(ConnectionPool connections, BooleanSupplier maySend) {}
