package org.tanagerbank.standin.direct;

/** A reason for which an engine does not run a request. */
enum Refusal {
  MISSING_ID(400),
  MISDIRECTED(421),
  QUEUE_FULL(503),
  TOO_LARGE(503),
  DEADLINE_PASSED(503),
  BEFORE_BODY(503),
  PREEMPTED_AND_DEADLINE_PASSED(503),
  PREEMPTED_AND_QUEUE_FULL(503);

  private final int status;

  Refusal(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of the response. */
  int status() {
    return status;
  }
}
