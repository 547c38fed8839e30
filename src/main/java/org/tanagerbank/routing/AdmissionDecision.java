package org.tanagerbank.routing;

import org.tanagerbank.request.ErrorCode;

/**
 * The decision of a sidecar about an arriving request. Implementations are immutable and
 * thread-safe.
 */
public sealed interface AdmissionDecision {
  /** Runs the request. */
  record Admit() implements AdmissionDecision {}

  /**
   * Refuses the request. The request was not run.
   *
   * @param code the reason for the refusal
   * @param retryAfterMillis the time in milliseconds after which the sender may retry
   */
  record Reject(ErrorCode code, long retryAfterMillis) implements AdmissionDecision {}
}
