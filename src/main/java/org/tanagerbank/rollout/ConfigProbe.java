package org.tanagerbank.rollout;

/**
 * A request that shows which configuration an instance uses, and what became of it. Immutable.
 *
 * @param id the id of the request
 * @param instance the instance that got it
 * @param incarnation the number of the start of the instance
 * @param route the first segment of its path
 * @param key the key that it bears
 * @param sentAtNanos when it was sent, by the nanosecond clock
 * @param endedAtNanos when its response had arrived
 * @param service the service that ran it; empty unless it was served
 */
public record ConfigProbe(
    String id,
    int instance,
    int incarnation,
    String route,
    String key,
    long sentAtNanos,
    long endedAtNanos,
    Outcome outcome,
    String service) {
  /** What the response says of the configuration. */
  public enum Outcome {
    /** An upstream ran it. */
    SERVED,
    /** The instance says that there is no such route. */
    NO_ROUTE,
    /** The instance says that there is no such key. */
    NO_KEY,
    /** The instance leaves it open, or gave no response. */
    UNDECIDED
  }
}
