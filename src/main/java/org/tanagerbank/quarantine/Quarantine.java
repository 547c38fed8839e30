package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.contract.Fingerprint;

/**
 * Decides from crashes which requests must run alone and which must not run.
 *
 * <p>Every fingerprint in flight at a crash becomes a suspect. A fingerprint that was in flight at
 * two crashes is condemned only if it was alone at one of them. A crash in company says no more of
 * a request than of its neighbours: two such crashes may each have been caused by another
 * neighbour. Because suspects run alone, the second crash of a request that does crash engines is
 * normally a crash alone. A suspect that runs to its end is clear again.
 *
 * <p>Records from the log stream and from links are merged; their order and repetition do not
 * matter. State is bounded: the oldest suspects are dropped first. Guarded by its own monitor;
 * thread-safe.
 */
public final class Quarantine {
  /** How long a condemnation holds after the crash that caused it. */
  public static final long CONDEMNED_MILLIS = 3_600_000;

  /** How long a suspect stays one without running. */
  public static final long SUSPECT_MILLIS = 3_600_000;

  private static final int MAX_SUSPECTS = 10_000;
  private static final int MAX_CONDEMNED = 10_000;
  private static final int MAX_CRASH_IDS = 10_000;

  private final Map<Fingerprint, Suspicion> suspects = new HashMap<>();
  private final Map<Fingerprint, Long> condemned = new HashMap<>();
  private final Set<String> crashIds = new LinkedHashSet<>();

  /**
   * Evidence against one fingerprint.
   *
   * @param crashes the crashes at which it was in flight
   * @param alone whether it was alone at one of them
   * @param lastCrashAt when the last of them happened
   */
  private record Suspicion(int crashes, boolean alone, long lastCrashAt) {
    static final Suspicion NONE = new Suspicion(0, false, 0);

    Suspicion with(CrashReport crash) {
      return new Suspicion(
          crashes + 1, alone || crash.isSolo(), Math.max(lastCrashAt, crash.atMillis()));
    }
  }

  /** Takes a crash report, and returns the fingerprints that it newly condemns. */
  public synchronized ImmutableList<Condemnation> crashed(CrashReport crash, long nowMillis) {
    expire(nowMillis);
    if (nowMillis - crash.atMillis() > SUSPECT_MILLIS || !crashIds.add(crash.crashId())) {
      return ImmutableList.of();
    }
    trim(crashIds);
    return crash.inFlight().stream()
        .flatMap(fingerprint -> suspect(fingerprint, crash, nowMillis).stream())
        .collect(ImmutableList.toImmutableList());
  }

  /** Notes that a request ran to its end without a crash. */
  public synchronized void survived(Fingerprint fingerprint) {
    suspects.remove(fingerprint);
  }

  /** Takes a condemnation heard from elsewhere, and returns whether it was news. */
  public synchronized boolean merge(Condemnation heard, long nowMillis) {
    expire(nowMillis);
    // A record whose sender's clock is ahead must not hold for longer than one made here.
    long expiresAt = Math.min(heard.expiresAtMillis(), nowMillis + CONDEMNED_MILLIS);
    Long known = condemned.get(heard.fingerprint());
    if (expiresAt <= nowMillis || (known != null && known >= expiresAt)) {
      return false;
    }
    if (known == null && condemned.size() >= MAX_CONDEMNED) {
      dropSoonestToExpire();
    }
    condemned.put(heard.fingerprint(), expiresAt);
    return known == null;
  }

  /** Returns what is known of a fingerprint. */
  public synchronized Standing standing(Fingerprint fingerprint, long nowMillis) {
    Long until = condemned.get(fingerprint);
    if (until != null && nowMillis < until) {
      return Standing.QUARANTINED;
    }
    Suspicion suspicion = suspects.get(fingerprint);
    return suspicion != null && nowMillis - suspicion.lastCrashAt() <= SUSPECT_MILLIS
        ? Standing.SUSPECT
        : Standing.CLEAR;
  }

  /** Returns the time at which the quarantine of a fingerprint ends, if it is quarantined. */
  public synchronized Optional<Long> quarantinedUntil(Fingerprint fingerprint, long nowMillis) {
    return Optional.ofNullable(condemned.get(fingerprint)).filter(until -> nowMillis < until);
  }

  /** Returns all condemnations in force, for a link that was just opened. */
  public synchronized ImmutableList<Condemnation> inForce(long nowMillis) {
    expire(nowMillis);
    return condemned.entrySet().stream()
        .map(e -> new Condemnation(e.getKey(), e.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the number of suspects. */
  public synchronized int suspectCount() {
    return suspects.size();
  }

  private Optional<Condemnation> suspect(
      Fingerprint fingerprint, CrashReport crash, long nowMillis) {
    if (suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(fingerprint)) {
      dropOldestSuspect();
    }
    Suspicion suspicion = suspects.getOrDefault(fingerprint, Suspicion.NONE).with(crash);
    if (suspicion.crashes() < 2 || !suspicion.alone()) {
      suspects.put(fingerprint, suspicion);
      return Optional.empty();
    }
    suspects.remove(fingerprint);
    Condemnation made = new Condemnation(fingerprint, suspicion.lastCrashAt() + CONDEMNED_MILLIS);
    return merge(made, nowMillis) ? Optional.of(made) : Optional.empty();
  }

  private void expire(long nowMillis) {
    condemned.values().removeIf(until -> until <= nowMillis);
    suspects.values().removeIf(s -> nowMillis - s.lastCrashAt() > SUSPECT_MILLIS);
  }

  private void dropOldestSuspect() {
    suspects.entrySet().stream()
        .min(Comparator.comparingLong(e -> e.getValue().lastCrashAt()))
        .map(Map.Entry::getKey)
        .ifPresent(suspects::remove);
  }

  private void dropSoonestToExpire() {
    condemned.entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .ifPresent(condemned::remove);
  }

  private static void trim(Set<String> ids) {
    if (ids.size() > MAX_CRASH_IDS) {
      ids.remove(ids.iterator().next());
    }
  }
}
