package org.tanagerbank.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Adds up the load of one service from parts that do not overlap, and drops parts that went silent.
 *
 * <p>A part is a sidecar (its own in-flight count, one live upstream), an entry (the requests that
 * it has in flight at live upstreams, and the number of sidecars that report to it) or a zone (the
 * sum of its entries). A sender repeats its part when it changes and at least every {@link
 * #REPEAT_MILLIS}. Pure decision code, thread-safe.
 */
public final class LoadAggregator {
  /** The longest time after which a sender repeats an unchanged part. */
  public static final long REPEAT_MILLIS = 500;

  /** The time after which a part that was not repeated no longer counts. */
  public static final long EXPIRY_MILLIS = 2_000;

  /** The sum of the parts. */
  public record Sum(long inFlight, int liveUpstreams, long takenAtMillis) {
    /** Returns the mean, or nothing when no upstream is live. */
    public Optional<MeanEstimate> mean() {
      return liveUpstreams == 0
          ? Optional.empty()
          : Optional.of(
              new MeanEstimate((double) inFlight / liveUpstreams, liveUpstreams, takenAtMillis));
    }
  }

  private record Part(long inFlight, int liveUpstreams, long heardAtMillis) {}

  private final Map<String, Part> parts = new HashMap<>();

  /** Takes the present value of a part. */
  public synchronized void report(String scope, long inFlight, int liveUpstreams, long nowMillis) {
    parts.put(scope, new Part(inFlight, liveUpstreams, nowMillis));
  }

  /** Drops a part at once: its sender is leaving, or its link broke. */
  public synchronized void remove(String scope) {
    parts.remove(scope);
  }

  /** Returns the sum of the parts heard of recently. */
  public synchronized Sum sum(long nowMillis) {
    parts.values().removeIf(p -> nowMillis - p.heardAtMillis > EXPIRY_MILLIS);
    long inFlight = 0;
    int live = 0;
    long oldest = nowMillis;
    for (Part part : parts.values()) {
      inFlight += part.inFlight;
      live += part.liveUpstreams;
      // Every change is sent, so a part that is due for no repeat is still as it was reported.
      boolean current = nowMillis - part.heardAtMillis <= REPEAT_MILLIS + REPEAT_MILLIS / 2;
      oldest = current ? oldest : Math.min(oldest, part.heardAtMillis);
    }
    return new Sum(inFlight, live, oldest);
  }
}
