package org.tanagerbank.standin.direct;

/** What happened to a request at an engine. */
public enum RunEvent {
  /** The head of the request was read. */
  ARRIVED,
  /** Work for the request begins; recorded before any of it. */
  BEGAN,
  /** The request was taken out of the batch after it had begun, and waits again. */
  PREEMPTED,
  /** The request is refused; recorded before the first byte of the refusal is sent. */
  REFUSED,
  /** The response to a request that ran was sent, whole or in part, or will not be sent. */
  ENDED,
  /** The caller closed the connection before the response was complete. */
  DROPPED,
  /** A fault is injected; recorded before its effect. */
  FAULT
}
