package org.tanagerbank.ledger;

import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Verdict;

/**
 * The answer of the ledger to a Query about a request.
 *
 * @param <R> the handle of a run
 */
public sealed interface QueryOutcome<R> {
  /** The request did not run on this sidecar incarnation and never will. */
  record Sealed<R>() implements QueryOutcome<R> {}

  /** The request is running. */
  record Running<R>(R run) implements QueryOutcome<R> {}

  /** The run finished, and its answer is still retained. */
  record Finished<R>(R run) implements QueryOutcome<R> {}

  /** The request was sent to another incarnation, whose state this incarnation does not have. */
  record OtherIncarnation<R>() implements QueryOutcome<R> {}

  /**
   * No answer is available.
   *
   * @param code why no answer is available
   * @param verdict whether the request ran or may have run
   */
  record Fail<R>(ErrorCode code, Verdict verdict) implements QueryOutcome<R> {}
}
