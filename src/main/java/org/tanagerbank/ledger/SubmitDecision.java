package org.tanagerbank.ledger;

import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Verdict;

/**
 * What a sidecar does with a Submit.
 *
 * @param <R> the handle of a run
 */
public sealed interface SubmitDecision<R> {
  /** Start this run; the request is recorded as running. */
  record Run<R>(R run) implements SubmitDecision<R> {}

  /** Do not run it; give the answer of this run, which is running or finished. */
  record Attach<R>(R run) implements SubmitDecision<R> {}

  /**
   * Refuse it; the request (with {@code MOVED}, the attempt) was not run and never will be.
   *
   * @param code why
   * @param retryAfterMillis when a new request may come
   * @param detail the upstream named by {@code MOVED}, otherwise empty
   */
  record Refuse<R>(ErrorCode code, long retryAfterMillis, String detail)
      implements SubmitDecision<R> {}

  /**
   * Do not run it, and report a failure that is not a promise that it never ran.
   *
   * @param code why
   * @param verdict whether it may have run
   */
  record Fail<R>(ErrorCode code, Verdict verdict) implements SubmitDecision<R> {}
}
