package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The share of this instance in what upstreams take from all instances together.
 *
 * <p>All instances divide by the same rule, in proportion to their requests in flight, of which
 * they tell each other, plus a constant: so the shares add up to one but for the delay of these
 * messages. The counts are smoothed over that delay. An instance that is silent, but was heard
 * lately or is registered, keeps the share of one without requests. Not thread-safe; confined to
 * the event loop.
 */
final class SendShares {
  /** The time for which an instance that is not heard any more keeps a share. */
  private static final long MEMORY_MILLIS = 10_000;

  /** The time in which an instance that has started hears of the others. */
  private static final long START_MILLIS = 1_000;

  /** The share of an instance that may not have heard of the others yet. */
  private static final double START_SHARE = 0.01;

  /** The weight of an instance that has no request in flight. */
  private static final double IDLE_WEIGHT = 0.1;

  /** The time over which counts are smoothed. */
  private static final double SMOOTHING_MILLIS = 1_000;

  /** The time for which a computed share is used. */
  private static final long VALID_MILLIS = 20;

  /** A smoothed number of requests. */
  private static final class Weight {
    private double requests;
    private long updatedAtMillis;

    private void update(int current, long nowMillis) {
      double weight = Math.min(1, (nowMillis - updatedAtMillis) / SMOOTHING_MILLIS);
      requests += weight * (current - requests);
      updatedAtMillis = nowMillis;
    }
  }

  private final LongSupplier clockMillis;
  private final IntSupplier ownInFlight;
  private final long startedAtMillis;
  private final Weight own = new Weight();
  private final SteadyShare steady;
  private final Map<String, Weight> peers = new HashMap<>();
  private ImmutableSet<String> registered = ImmutableSet.of();
  private double share = 1;
  private long computedAtMillis = Long.MIN_VALUE / 2;

  /**
   * Creates the share of an instance that knows no others.
   *
   * @param ownInFlight returns the requests that this instance has in flight at all upstreams
   */
  SendShares(LongSupplier clockMillis, IntSupplier ownInFlight) {
    this.clockMillis = clockMillis;
    this.startedAtMillis = clockMillis.getAsLong();
    this.ownInFlight = ownInFlight;
    this.steady = new SteadyShare(startedAtMillis);
  }

  /** Updates the share in what cold upstreams take. To be called several times a second. */
  void sample() {
    steady.sample(ownInFlight.getAsInt(), clockMillis.getAsLong());
  }

  /** Returns the share of this instance in what cold upstreams take. */
  double steadyShare() {
    return steady.share();
  }

  /** Records the requests that another instance has in flight at all upstreams. */
  void recordPeer(String instanceId, int inFlight) {
    long now = clockMillis.getAsLong();
    peers.computeIfAbsent(instanceId, id -> new Weight()).update(inFlight, now);
    steady.recordPeer(instanceId, inFlight, now);
  }

  /** Replaces the ids of the other instances that are registered. */
  void setRegistered(ImmutableSet<String> instanceIds) {
    registered = instanceIds;
    steady.setRegistered(instanceIds);
  }

  /**
   * Returns the share of this instance; more than 0, and 1 if there are no others, once it has run
   * for long enough to hear of them.
   */
  double share() {
    long now = clockMillis.getAsLong();
    if (now - computedAtMillis >= VALID_MILLIS) {
      computedAtMillis = now;
      share = compute(now);
    }
    return share;
  }

  private double compute(long now) {
    own.update(ownInFlight.getAsInt(), now);
    peers.values().removeIf(w -> now - w.updatedAtMillis > MEMORY_MILLIS);
    double others = peers.values().stream().mapToDouble(w -> IDLE_WEIGHT + w.requests).sum();
    long silent = registered.stream().filter(id -> !peers.containsKey(id)).count();
    if (now - startedAtMillis < START_MILLIS) {
      return START_SHARE;
    }
    double weight = IDLE_WEIGHT + own.requests;
    return weight / (weight + others + IDLE_WEIGHT * silent);
  }
}
