package org.tanagerbank.order;

/** What a sidecar may do about an order now. Immutable and thread-safe. */
public sealed interface OrderCheck {
  /**
   * Send the order at once.
   *
   * @param fencing the fencing number to send with it
   * @param effectBeforeMillis the time before which the order must have taken effect; an order
   *     without an answer by then is reported as late
   */
  record Grant(long fencing, long effectBeforeMillis) implements OrderCheck {}

  /**
   * Wait; then read the stream and check again.
   *
   * @param untilMillis when to go on
   */
  record Wait(long untilMillis) implements OrderCheck {}

  /** Append a claim and tell the lease the result. */
  record Append() implements OrderCheck {}

  /** Read the stream to its end and check again. */
  record Read() implements OrderCheck {}

  /** Give no orders any more: a newer incarnation has taken over. */
  record Superseded() implements OrderCheck {}
}
