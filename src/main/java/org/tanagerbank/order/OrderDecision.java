package org.tanagerbank.order;

/**
 * The decision of an {@link OrderLease} on what a sidecar has to do before it may send an order to
 * its engine. Immutable and thread-safe.
 */
public sealed interface OrderDecision {
  /**
   * The sidecar may send the order immediately.
   *
   * @param fencing the fencing number to send with the order
   * @param effectBeforeMillis the time before which the order must have taken effect; an order that
   *     the engine has not answered by then must be reported as late
   */
  record Grant(long fencing, long effectBeforeMillis) implements OrderDecision {}

  /**
   * The sidecar must wait, then read the stream and check again.
   *
   * @param untilMillis the time at which the wait ends
   */
  record Wait(long untilMillis) implements OrderDecision {}

  /** The sidecar must append a claim, pass the result to the lease, and check again. */
  record AppendClaim() implements OrderDecision {}

  /** The sidecar must read the stream to its end and check again. */
  record ReadStream() implements OrderDecision {}

  /** The sidecar must not send orders any more, because a newer incarnation has taken over. */
  record Superseded() implements OrderDecision {}
}
