package org.tanagerbank.quarantine;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.tanagerbank.request.Fingerprint;

/**
 * Lets at most one request with a fingerprint run at a time in the fleet.
 *
 * <p>An instance that wants to run one announces a claim and waits until the claims of the others
 * must have arrived. A running claim goes first, then the one whose instance ranks lowest for the
 * fingerprint. A claim whose run was lost is kept until the crash is known everywhere. Two runs at
 * once are possible only while two instances do not hear from each other.
 *
 * <p>Decision logic without I/O; events and the current time are arguments. Not thread-safe;
 * confined to one thread.
 */
public final class TrialClaims {
  /** Several times the time that a message takes between instances. */
  static final long CLAIM_WAIT_MILLIS = 100;

  /** The time in which a lost run is found to be a crash or not, and reported to all instances. */
  public static final long SETTLE_MILLIS = 1_500;

  /**
   * The number of claims that an instance may have, so that all of them fit a message. A request
   * beyond it waits or is refused like one whose trial is taken.
   */
  static final int MAX_CLAIMS = 32;

  private static final HashFunction RANK = Hashing.murmur3_128(0x7a6f);

  /** A claim of this instance for one of its requests, which is the holder. */
  private static final class OwnClaim {
    private final Object holder;
    private final long sinceMillis;
    private boolean isRunning;
    private int upstream;
    private long releaseAtMillis = Long.MAX_VALUE;

    private OwnClaim(Object holder, long sinceMillis) {
      this.holder = holder;
      this.sinceMillis = sinceMillis;
    }

    private boolean isHeldBy(Object request) {
      return holder == request && releaseAtMillis == Long.MAX_VALUE;
    }
  }

  private final String ownId;
  private final Map<Fingerprint, OwnClaim> own = new HashMap<>();
  private final Map<String, ImmutableList<TrialClaim>> byPeer = new HashMap<>();

  /** Creates an empty set of claims of the instance with the given id. */
  public TrialClaims(String ownId) {
    this.ownId = ownId;
  }

  /**
   * Returns whether a request may run now. If not, it has a claim or waits for the claim of another
   * request, and must ask again later or {@linkplain #abandon give up}.
   */
  public boolean tryStart(Fingerprint fingerprint, Object holder, long nowMillis) {
    removeSettled(nowMillis);
    if (!own.containsKey(fingerprint) && own.size() >= MAX_CLAIMS) {
      return false;
    }
    OwnClaim claim = own.computeIfAbsent(fingerprint, f -> new OwnClaim(holder, nowMillis));
    if (!claim.isHeldBy(holder)) {
      return false;
    }
    claim.isRunning |=
        nowMillis - claim.sinceMillis >= CLAIM_WAIT_MILLIS
            && byPeer.keySet().stream().noneMatch(p -> goesBefore(p, fingerprint));
    return claim.isRunning;
  }

  /** Returns whether a request need not wait for its turn, because another one has the claim. */
  public boolean isTaken(Fingerprint fingerprint, Object holder, long nowMillis) {
    OwnClaim claim = own.get(fingerprint);
    if (claim == null || !claim.isHeldBy(holder)) {
      return true;
    }
    return nowMillis - claim.sinceMillis >= CLAIM_WAIT_MILLIS
        || byPeer.values().stream()
            .flatMap(List::stream)
            .anyMatch(c -> c.fingerprint().equals(fingerprint) && c.isRunning());
  }

  /** Records at which upstream a claimed run takes place, by a hash of its id. */
  public void setUpstream(Fingerprint fingerprint, int upstream) {
    OwnClaim claim = own.get(fingerprint);
    if (claim != null) {
      claim.upstream = upstream;
    }
  }

  /**
   * Returns the upstreams at which other fingerprints run in trials, as far as is known. Two trials
   * at one upstream would not show which of them crashed it.
   */
  public ImmutableSet<Integer> upstreamsInOtherTrials(Fingerprint fingerprint, long nowMillis) {
    return runningClaims(nowMillis)
        .filter(c -> !c.fingerprint().equals(fingerprint))
        .map(TrialClaim::upstream)
        .collect(toImmutableSet());
  }

  /** Returns the upstreams at which fingerprints run in trials, as far as is known. */
  public ImmutableSet<Integer> upstreamsInTrial(long nowMillis) {
    return runningClaims(nowMillis).map(TrialClaim::upstream).collect(toImmutableSet());
  }

  private Stream<TrialClaim> runningClaims(long nowMillis) {
    return Stream.concat(
            ownClaims(nowMillis).stream(), byPeer.values().stream().flatMap(List::stream))
        .filter(TrialClaim::isRunning);
  }

  private boolean goesBefore(String peer, Fingerprint fingerprint) {
    return byPeer.get(peer).stream()
        .filter(c -> c.fingerprint().equals(fingerprint))
        .anyMatch(c -> c.isRunning() || rank(peer, fingerprint) < rank(ownId, fingerprint));
  }

  private static long rank(String instanceId, Fingerprint fingerprint) {
    return RANK.newHasher()
        .putLong(fingerprint.value())
        .putString(instanceId, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /**
   * Ends the run of a request, if it holds a claim.
   *
   * @param wasLost whether the run ended without a result, so that its upstream may have crashed
   */
  public void end(Fingerprint fingerprint, Object holder, boolean wasLost, long nowMillis) {
    OwnClaim claim = own.get(fingerprint);
    if (claim == null || !claim.isHeldBy(holder)) {
      return;
    }
    if (wasLost) {
      claim.releaseAtMillis = nowMillis + SETTLE_MILLIS;
    } else {
      own.remove(fingerprint);
    }
  }

  /** Drops the claim of a request that has ended, unless its run was lost. */
  public void abandon(Fingerprint fingerprint, Object holder) {
    OwnClaim claim = own.get(fingerprint);
    if (claim != null && claim.isHeldBy(holder)) {
      own.remove(fingerprint);
    }
  }

  private void removeSettled(long nowMillis) {
    own.values().removeIf(c -> nowMillis >= c.releaseAtMillis);
  }

  /** Replaces the claims of another instance. */
  public void setPeerClaims(String instanceId, ImmutableList<TrialClaim> claims) {
    if (claims.isEmpty()) {
      byPeer.remove(instanceId);
    } else {
      byPeer.put(instanceId, claims);
    }
  }

  /** Returns whether this instance has a claim for one of the fingerprints of other claims. */
  public boolean competesWith(ImmutableList<TrialClaim> claims) {
    return claims.stream().anyMatch(c -> own.containsKey(c.fingerprint()));
  }

  /** Returns the claims of this instance, which others must know. */
  public ImmutableList<TrialClaim> ownClaims(long nowMillis) {
    removeSettled(nowMillis);
    return own.entrySet().stream()
        .map(e -> new TrialClaim(e.getKey(), e.getValue().isRunning, e.getValue().upstream))
        .collect(toImmutableList());
  }
}
