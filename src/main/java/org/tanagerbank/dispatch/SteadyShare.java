package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The share of this instance in what cold upstreams take from all instances together.
 *
 * <p>Shares are in proportion to the requests in flight plus a constant, smoothed over several
 * seconds. What the others know of this instance is some time old, so more requests here count only
 * when they have heard of them, and fewer at once. So the shares add up to about one or less, also
 * while the traffic changes. An instance that is not heard any more keeps its share as long as it
 * is registered; after {@link #MEMORY_MILLIS} it has no more than the average. Not thread-safe;
 * confined to the event loop.
 */
final class SteadyShare {
  /** The time between two computations; the gateway's tick. */
  private static final long SAMPLE_MILLIS = 200;

  /** The samples of the own weight that are kept. */
  private static final int MAX_SAMPLES = 16;

  /** The samples for which the others may not have heard of it yet; over a second and a half. */
  private static final int MIN_SAMPLES = 7;

  /** The number of others that makes digests rarer by the time of a sample; see DigestSchedule. */
  private static final int PEERS_PER_SAMPLE = 25;

  /** The time over which requests in flight are smoothed, in milliseconds. */
  private static final double SMOOTHING_MILLIS = 5_000;

  /** The time in which an instance that has started hears of the others, in milliseconds. */
  private static final long START_MILLIS = 1_000;

  /** The share of an instance that has not heard of the others; 400 such ones have a whole. */
  private static final double START_SHARE = 0.0025;

  /** The weight of an instance without requests in flight. */
  private static final double IDLE_WEIGHT = 0.1;

  /** The time after which an instance that is not heard counts as an average one. */
  private static final long MEMORY_MILLIS = 10_000;

  /** A smoothed number of requests in flight. */
  private static final class Weight {
    private double requests;
    private long updatedAtMillis;

    private Weight(long nowMillis) {
      updatedAtMillis = nowMillis;
    }

    private void update(int current, long nowMillis) {
      double weight = Math.min(1, (nowMillis - updatedAtMillis) / SMOOTHING_MILLIS);
      requests += weight * (current - requests);
      updatedAtMillis = nowMillis;
    }

    private double value() {
      return IDLE_WEIGHT + requests;
    }
  }

  private final long startedAtMillis;
  private final Weight own;
  private final Map<String, Weight> peers = new HashMap<>();
  private final double[] samples = new double[MAX_SAMPLES];
  private ImmutableSet<String> registered = ImmutableSet.of();
  private int sampleCount;
  private long sampledAtMillis;
  private double share = START_SHARE;

  SteadyShare(long nowMillis) {
    startedAtMillis = nowMillis;
    sampledAtMillis = nowMillis - SAMPLE_MILLIS;
    own = new Weight(nowMillis);
    Arrays.fill(samples, IDLE_WEIGHT);
  }

  void recordPeer(String instanceId, int inFlight, long nowMillis) {
    peers.computeIfAbsent(instanceId, id -> new Weight(nowMillis)).update(inFlight, nowMillis);
  }

  void setRegistered(ImmutableSet<String> instanceIds) {
    registered = instanceIds;
  }

  /** Updates the share. To be called several times a second. */
  void sample(int ownInFlight, long nowMillis) {
    if (nowMillis - sampledAtMillis < SAMPLE_MILLIS) {
      return;
    }
    sampledAtMillis = nowMillis;
    own.update(ownInFlight, nowMillis);
    samples[sampleCount % MAX_SAMPLES] = own.value();
    sampleCount++;
    peers
        .entrySet()
        .removeIf(p -> isForgotten(p.getValue(), nowMillis) && !registered.contains(p.getKey()));
    double weight = knownWeight();
    share =
        nowMillis - startedAtMillis < START_MILLIS
            ? START_SHARE
            : weight / (weight + othersWeight(nowMillis));
  }

  /** Returns the lowest weight of the time for which the others may not have heard of it. */
  private double knownWeight() {
    int used = Math.min(MAX_SAMPLES, MIN_SAMPLES + peers.size() / PEERS_PER_SAMPLE);
    double lowest = own.value();
    for (int i = 1; i <= used; i++) {
      lowest = Math.min(lowest, samples[Math.floorMod(sampleCount - i, MAX_SAMPLES)]);
    }
    return lowest;
  }

  private double othersWeight(long nowMillis) {
    double heard = 0;
    int heardCount = 0;
    double silent = 0;
    for (Weight peer : peers.values()) {
      if (!isForgotten(peer, nowMillis)) {
        heard += peer.value();
        heardCount++;
      }
    }
    double average = heardCount == 0 ? Double.POSITIVE_INFINITY : heard / heardCount;
    for (Weight peer : peers.values()) {
      silent += isForgotten(peer, nowMillis) ? Math.min(average, peer.value()) : 0;
    }
    long unheard = registered.stream().filter(id -> !peers.containsKey(id)).count();
    return heard + silent + unheard * (heardCount == 0 ? IDLE_WEIGHT : average);
  }

  private static boolean isForgotten(Weight peer, long nowMillis) {
    return nowMillis - peer.updatedAtMillis > MEMORY_MILLIS;
  }

  /** Returns the share of this instance; more than 0 and at most 1. */
  double share() {
    return share;
  }
}
