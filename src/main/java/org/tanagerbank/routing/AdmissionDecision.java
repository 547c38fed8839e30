package org.tanagerbank.routing;

import org.tanagerbank.contract.ErrorCode;

/** What a sidecar does with a request that arrives. */
public sealed interface AdmissionDecision {
  /** Run it. */
  record Admit() implements AdmissionDecision {}

  /**
   * Refuse it; it was not run.
   *
   * @param code why
   * @param retryAfterMillis when it may come back
   */
  record Reject(ErrorCode code, long retryAfterMillis) implements AdmissionDecision {}
}
