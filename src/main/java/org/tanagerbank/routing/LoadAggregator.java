package org.tanagerbank.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Sums the load of one service over parts that do not overlap, and drops parts that have expired.
 *
 * <p>A part is one of the following:
 *
 * <ul>
 *   <li>a sidecar: its own in-flight count and one live upstream;
 *   <li>an entry: its requests in flight at live upstreams, and the number of sidecars that report
 *       to it;
 *   <li>a zone: the sum of its entries.
 * </ul>
 *
 * <p>A sender sends its part when the part changes and at least every {@link #REPEAT_MILLIS}. This
 * class does no I/O. Thread-safe.
 */
public final class LoadAggregator {
  /** The maximum time in milliseconds after which a sender repeats an unchanged part. */
  public static final long REPEAT_MILLIS = 500;

  /** The time in milliseconds after which a part that was not repeated expires. */
  public static final long EXPIRY_MILLIS = 2_000;

  /**
   * The sum of the parts.
   *
   * @param inFlight the number of requests in flight
   * @param liveUpstreams the number of live upstreams
   * @param takenAtMillis the time in milliseconds to which the oldest part dates back
   */
  public record Sum(long inFlight, int liveUpstreams, long takenAtMillis) {
    /** Returns the mean load, or empty when no upstream is live. */
    public Optional<MeanLoadEstimate> mean() {
      return liveUpstreams == 0
          ? Optional.empty()
          : Optional.of(
              new MeanLoadEstimate(
                  (double) inFlight / liveUpstreams, liveUpstreams, takenAtMillis));
    }
  }

  private record Part(long inFlight, int liveUpstreams, long receivedAtMillis) {}

  private final Map<String, Part> parts = new HashMap<>();

  /**
   * Updates the value of a part.
   *
   * @param partId identifies the part among those summed here: the id of its sender, or its zone
   *     name
   */
  public synchronized void updatePart(
      String partId, long inFlight, int liveUpstreams, long nowMillis) {
    parts.put(partId, new Part(inFlight, liveUpstreams, nowMillis));
  }

  /** Removes a part immediately, because its sender is leaving or its link broke. */
  public synchronized void removePart(String partId) {
    parts.remove(partId);
  }

  /** Returns the sum of the parts that have not expired, and removes those that have. */
  public synchronized Sum sum(long nowMillis) {
    parts.values().removeIf(p -> nowMillis - p.receivedAtMillis > EXPIRY_MILLIS);
    long inFlight = 0;
    int liveUpstreams = 0;
    long oldestMillis = nowMillis;
    for (Part part : parts.values()) {
      inFlight += part.inFlight;
      liveUpstreams += part.liveUpstreams;
      // Senders send every change, so a part that is not yet due for a repeat is still valid.
      boolean isCurrent = nowMillis - part.receivedAtMillis <= REPEAT_MILLIS + REPEAT_MILLIS / 2;
      oldestMillis = isCurrent ? oldestMillis : Math.min(oldestMillis, part.receivedAtMillis);
    }
    return new Sum(inFlight, liveUpstreams, oldestMillis);
  }
}
