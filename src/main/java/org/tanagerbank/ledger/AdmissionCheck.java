package org.tanagerbank.ledger;

import java.util.Optional;
import org.tanagerbank.request.ErrorCode;

/**
 * Decides whether a request that the ledger has no record of may run now.
 *
 * <p>The ledger calls it while holding the lock of the request's shard, so that the decision and
 * its record are atomic. Implementations must not block and must not call the ledger.
 *
 * @param <R> the handle of a run
 */
@FunctionalInterface
public interface AdmissionCheck<R> {
  /** Decides on the request; the implementation counts an admitted request, which then starts. */
  Result<R> decide();

  /**
   * The decision on a request.
   *
   * @param run the handle of the new run; empty if the request is refused
   * @param code why the request is refused, or null if it is admitted; {@code MOVED} seals only the
   *     attempt, every other code seals the request
   * @param retryAfterMillis the time after which the caller may retry; 0 if none is given
   * @param detail the upstream to which {@code MOVED} points, otherwise empty
   */
  record Result<R>(Optional<R> run, ErrorCode code, long retryAfterMillis, String detail) {
    /** Returns the decision to start a run. */
    public static <R> Result<R> admit(R run) {
      return new Result<>(Optional.of(run), null, 0, "");
    }

    /** Returns the decision to refuse the request. */
    public static <R> Result<R> refuse(ErrorCode code, long retryAfterMillis) {
      return new Result<>(Optional.empty(), code, retryAfterMillis, "");
    }

    /** Returns the decision to redirect the entry to the upstream that holds the chat's cache. */
    public static <R> Result<R> moved(String upstreamId) {
      return new Result<>(Optional.empty(), ErrorCode.MOVED, 0, upstreamId);
    }
  }
}
