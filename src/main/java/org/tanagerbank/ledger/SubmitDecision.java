package org.tanagerbank.ledger;

import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Verdict;

/**
 * The decision of the ledger on a Submit, which the sidecar carries out.
 *
 * @param <R> the handle of a run
 */
public sealed interface SubmitDecision<R> {
  /** Start the run. The ledger has recorded the request as running. */
  record Run<R>(R run) implements SubmitDecision<R> {}

  /** Do not start a run; deliver the answer of this existing run, which is running or finished. */
  record Attach<R>(R run) implements SubmitDecision<R> {}

  /**
   * Refuse the request, which did not run and never will; with {@code MOVED} this holds only for
   * the attempt.
   *
   * @param code why the request is refused
   * @param retryAfterMillis the time after which the caller may send a new request; 0 if none is
   *     given
   * @param detail the upstream to which {@code MOVED} points, otherwise empty
   */
  record Refuse<R>(ErrorCode code, long retryAfterMillis, String detail)
      implements SubmitDecision<R> {}

  /**
   * Do not start a run, and report a failure. Unlike {@link Refuse}, this does not guarantee that
   * the request never ran.
   *
   * @param code why the request fails
   * @param verdict whether the request ran or may have run
   */
  record Fail<R>(ErrorCode code, Verdict verdict) implements SubmitDecision<R> {}
}
