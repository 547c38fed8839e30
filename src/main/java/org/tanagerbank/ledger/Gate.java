package org.tanagerbank.ledger;

import java.util.Optional;
import org.tanagerbank.contract.ErrorCode;

/**
 * Decides whether a request that the ledger does not know may run now.
 *
 * <p>Called under the lock of the request's shard, so that the decision and the record of it are
 * one step. Must not block and must not call the ledger.
 *
 * @param <R> the handle of a run
 */
@FunctionalInterface
public interface Gate<R> {
  /** Decides once; an admitted request is counted and its run will be started. */
  Pass<R> decide();

  /**
   * The outcome.
   *
   * @param run the handle of the new run; empty when refused
   * @param code why the request is refused; {@code MOVED} seals the attempt only
   * @param retryAfterMillis when it may come back
   * @param detail the upstream named by {@code MOVED}, otherwise empty
   */
  record Pass<R>(Optional<R> run, ErrorCode code, long retryAfterMillis, String detail) {
    /** Returns the outcome that starts a run. */
    public static <R> Pass<R> admit(R run) {
      return new Pass<>(Optional.of(run), null, 0, "");
    }

    /** Returns the outcome that refuses the request. */
    public static <R> Pass<R> refuse(ErrorCode code, long retryAfterMillis) {
      return new Pass<>(Optional.empty(), code, retryAfterMillis, "");
    }

    /** Returns the outcome that points the entry to the holder of the chat's cache. */
    public static <R> Pass<R> moved(String upstreamId) {
      return new Pass<>(Optional.empty(), ErrorCode.MOVED, 0, upstreamId);
    }
  }
}
