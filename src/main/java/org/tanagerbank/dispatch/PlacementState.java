package org.tanagerbank.dispatch;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tanagerbank.stream.StreamOrigin;

/**
 * The state of a request before its next attempt. Immutable.
 *
 * @param origin what wrote the events that the caller has, if it has any
 * @param hasBegun whether the request was sent before or takes up a stream
 * @param timeLeftMillis the time until its deadline, in milliseconds
 * @param mayBeSent takes one retry from the shared budget if one is needed, and returns whether the
 *     request may be sent
 */
record PlacementState(
    Optional<StreamOrigin> origin,
    boolean hasBegun,
    long timeLeftMillis,
    BooleanSupplier mayBeSent) {}
