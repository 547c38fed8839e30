package org.tanagerbank.ledger;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tanagerbank.request.RequestId;

/**
 * The fields of a Submit that the ledger uses.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the request id
 * @param attempt the attempt number, starting at 1
 * @param incarnation the sidecar incarnation that the request is bound to
 * @param nonIdempotent whether the request must not run twice
 * @param key the idempotency key; empty if the request has none
 */
public record Submission(
    RequestId id,
    int attempt,
    long incarnation,
    boolean nonIdempotent,
    Optional<IdempotencyKey> key) {
  public Submission {
    checkNotNull(id);
    checkArgument(attempt > 0, "attempt must be positive: %s", attempt);
    checkNotNull(key);
  }
}
