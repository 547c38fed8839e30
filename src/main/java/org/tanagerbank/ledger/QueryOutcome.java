package org.tanagerbank.ledger;

import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Verdict;

/**
 * What became of a request that an entry asks about.
 *
 * @param <R> the handle of a run
 */
public sealed interface QueryOutcome<R> {
  /** It did not run here and never will. */
  record Sealed<R>() implements QueryOutcome<R> {}

  /** It is running. */
  record Running<R>(R run) implements QueryOutcome<R> {}

  /** It ran to its end, and the answer is still kept. */
  record Finished<R>(R run) implements QueryOutcome<R> {}

  /** It was sent to another incarnation, about which this one knows nothing. */
  record OtherIncarnation<R>() implements QueryOutcome<R> {}

  /**
   * There is no answer to give.
   *
   * @param code why
   * @param verdict whether it may have run
   */
  record Fail<R>(ErrorCode code, Verdict verdict) implements QueryOutcome<R> {}
}
