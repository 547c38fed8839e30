package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.request.Fingerprint;

/**
 * Decides from crashes of upstreams which requests must run apart from others and which must not
 * run.
 *
 * <p>Every fingerprint in flight at a crash becomes a suspect. A crash with several requests in
 * flight does not show which of them caused it: two such crashes may each have been caused by a
 * different other request. A {@link QuarantineRule} therefore weighs the crashes of a fingerprint,
 * and suspects run under conditions that single out the cause. A suspect that runs to its end is
 * cleared.
 *
 * <p>Records from the log stream, from links and from other instances are merged; their order and
 * repetition do not matter. State is bounded: when a limit is reached, the suspect with the fewest
 * crashes, the quarantine that expires first, or the oldest completion or crash id is dropped.
 * Thread-safe: all methods synchronize on this object.
 */
public final class Quarantine {
  /** How long a quarantine lasts after the last crash that caused it. */
  public static final long QUARANTINE_MILLIS = 3_600_000;

  /** How long a fingerprint remains a suspect after its last crash unless it runs to its end. */
  public static final long SUSPICION_MILLIS = 3_600_000;

  private static final int MAX_SUSPECTS = 10_000;
  private static final int MAX_QUARANTINED = 10_000;
  private static final int MAX_CRASH_IDS = 10_000;

  /** Enough for the requests that many callers send at the same time. */
  private static final int MAX_COMPLETED = 1_024;

  private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 1_000;

  private final QuarantineRule rule;
  private final Map<Fingerprint, CrashEvidence> suspects = new HashMap<>();
  private final Map<Fingerprint, Long> expiryMillisByFingerprint = new HashMap<>();
  private final Set<String> seenCrashIds = new LinkedHashSet<>();

  /** The times at which fingerprints without evidence last completed, oldest first. */
  private final Map<Fingerprint, Long> completedAtMillis = new LinkedHashMap<>();

  private long nextExpiryCheckMillis = Long.MIN_VALUE;

  /** Creates a quarantine for the requests of an upstream that only this process uses. */
  public Quarantine() {
    this(QuarantineRule.SOLE_ACCESS);
  }

  /** Creates a quarantine that decides by the given rule. */
  public Quarantine(QuarantineRule rule) {
    this.rule = rule;
  }

  /**
   * Records a crash, and returns the quarantines that start with it. A report that is repeated, or
   * whose crash is older than {@link #SUSPICION_MILLIS}, changes nothing.
   */
  public synchronized ImmutableList<QuarantineRecord> recordCrash(
      CrashReport crash, long nowMillis) {
    removeExpired(nowMillis);
    if (nowMillis - crash.atMillis() > SUSPICION_MILLIS || !seenCrashIds.add(crash.crashId())) {
      return ImmutableList.of();
    }
    dropOldestIfFull(seenCrashIds, MAX_CRASH_IDS);
    return crash.inFlight().stream()
        .flatMap(fingerprint -> recordCrash(fingerprint, crash, nowMillis).stream())
        .collect(ImmutableList.toImmutableList());
  }

  private Optional<QuarantineRecord> recordCrash(
      Fingerprint fingerprint, CrashReport crash, long nowMillis) {
    int depth = depth(fingerprint, nowMillis) + 1;
    recordLostRun(
        fingerprint,
        new CrashRecord(crash.crashId(), depth, crash.hasSingleFingerprint(), crash.atMillis()),
        nowMillis);
    if (statusByEvidence(fingerprint, nowMillis) != QuarantineStatus.QUARANTINED) {
      return Optional.empty();
    }
    long lastCrashAtMillis = suspects.remove(fingerprint).lastEventMillis();
    QuarantineRecord newQuarantine =
        new QuarantineRecord(fingerprint, lastCrashAtMillis + QUARANTINE_MILLIS);
    return merge(newQuarantine, nowMillis) ? Optional.of(newQuarantine) : Optional.empty();
  }

  /** Records that a run was lost in a crash of its upstream, and returns whether that is new. */
  public synchronized boolean recordLostRun(
      Fingerprint fingerprint, CrashRecord crash, long nowMillis) {
    return mergeEvidence(fingerprint, CrashEvidence.NONE.plus(crash), nowMillis);
  }

  /**
   * Merges what another instance knows of a fingerprint, and returns whether anything is new.
   *
   * @param received the evidence, with times of the clock of {@code nowMillis}
   */
  public synchronized boolean mergeEvidence(
      Fingerprint fingerprint, CrashEvidence received, long nowMillis) {
    removeExpired(nowMillis);
    CrashEvidence known = suspects.getOrDefault(fingerprint, evidenceOfCompletion(fingerprint));
    CrashEvidence merged = known.mergeWith(received);
    if (merged.equals(known) || nowMillis - merged.lastEventMillis() > SUSPICION_MILLIS) {
      return false;
    }
    if (suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(fingerprint)) {
      dropLeastSuspect(nowMillis);
    }
    completedAtMillis.remove(fingerprint);
    suspects.put(fingerprint, merged);
    return true;
  }

  private CrashEvidence evidenceOfCompletion(Fingerprint fingerprint) {
    Long completed = completedAtMillis.get(fingerprint);
    return completed == null ? CrashEvidence.NONE : CrashEvidence.NONE.completedAt(completed);
  }

  /**
   * Records that a request ran to its end without a crash, and clears its suspicion. Returns
   * whether it was a suspect.
   */
  public synchronized boolean recordCompletion(Fingerprint fingerprint, long nowMillis) {
    if (rule.innocenceMillis() == 0) {
      return suspects.remove(fingerprint) != null;
    }
    boolean wasSuspect = !countedCrashes(fingerprint, nowMillis).isEmpty();
    if (suspects.containsKey(fingerprint)) {
      suspects.computeIfPresent(fingerprint, (f, e) -> e.completedAt(nowMillis));
    } else {
      completedAtMillis.remove(fingerprint);
      completedAtMillis.put(fingerprint, nowMillis);
      dropOldestIfFull(completedAtMillis.keySet(), MAX_COMPLETED);
    }
    return wasSuspect;
  }

  /**
   * Merges a quarantine that another process decided on.
   *
   * @return whether the fingerprint was not quarantined before
   */
  public synchronized boolean merge(QuarantineRecord received, long nowMillis) {
    removeExpired(nowMillis);
    // If the clock of the sender is ahead, the record must not last longer than a local one.
    long newExpiry = Math.min(received.expiresAtMillis(), nowMillis + QUARANTINE_MILLIS);
    Optional<Long> knownExpiry = recordedExpiry(received.fingerprint(), nowMillis);
    if (newExpiry <= Math.max(nowMillis, knownExpiry.orElse(nowMillis))) {
      return false;
    }
    if (knownExpiry.isEmpty() && expiryMillisByFingerprint.size() >= MAX_QUARANTINED) {
      dropEarliestExpiry();
    }
    expiryMillisByFingerprint.put(received.fingerprint(), newExpiry);
    return knownExpiry.isEmpty();
  }

  /** Returns how requests with a fingerprint may run. */
  public synchronized QuarantineStatus status(Fingerprint fingerprint, long nowMillis) {
    return recordedExpiry(fingerprint, nowMillis).isPresent()
        ? QuarantineStatus.QUARANTINED
        : statusByEvidence(fingerprint, nowMillis);
  }

  private QuarantineStatus statusByEvidence(Fingerprint fingerprint, long nowMillis) {
    ImmutableList<CrashRecord> crashes = countedCrashes(fingerprint, nowMillis);
    return crashes.isEmpty()
        ? QuarantineStatus.CLEAR
        : rule.status(crashes, c -> singlesOut(c, fingerprint, nowMillis));
  }

  /** Returns the crashes that count against a fingerprint. */
  private ImmutableList<CrashRecord> countedCrashes(Fingerprint fingerprint, long nowMillis) {
    CrashEvidence evidence = suspects.get(fingerprint);
    if (evidence == null) {
      return ImmutableList.of();
    }
    long innocentUntil = evidence.completedAtMillis() + rule.innocenceMillis();
    return evidence.crashesAfter(Math.max(innocentUntil, nowMillis - SUSPICION_MILLIS - 1));
  }

  /** Returns whether no other fingerprint that was in flight at a crash was so at another crash. */
  private boolean singlesOut(CrashRecord crash, Fingerprint fingerprint, long nowMillis) {
    return suspects.entrySet().stream()
        .filter(e -> e.getValue().crashes().containsKey(crash.crashId()))
        .filter(e -> !e.getKey().equals(fingerprint))
        .noneMatch(e -> countedCrashes(e.getKey(), nowMillis).size() > 1);
  }

  /**
   * Returns the number of crashes on record that followed one another, each in a run that was sent
   * when the one before was known.
   */
  public synchronized int depth(Fingerprint fingerprint, long nowMillis) {
    return countedCrashes(fingerprint, nowMillis).stream()
        .mapToInt(CrashRecord::depth)
        .max()
        .orElse(0);
  }

  /**
   * Returns when the quarantine of a fingerprint ends, in milliseconds, or empty if there is none.
   */
  public synchronized Optional<Long> expiryMillis(Fingerprint fingerprint, long nowMillis) {
    Optional<Long> recorded = recordedExpiry(fingerprint, nowMillis);
    if (recorded.isPresent()
        || statusByEvidence(fingerprint, nowMillis) != QuarantineStatus.QUARANTINED) {
      return recorded;
    }
    return Optional.of(suspects.get(fingerprint).lastEventMillis() + SUSPICION_MILLIS);
  }

  private Optional<Long> recordedExpiry(Fingerprint fingerprint, long nowMillis) {
    return Optional.ofNullable(expiryMillisByFingerprint.get(fingerprint))
        .filter(untilMillis -> nowMillis < untilMillis);
  }

  /** Returns all quarantines in force, to be sent on a link that was just opened. */
  public synchronized ImmutableList<QuarantineRecord> activeRecords(long nowMillis) {
    return expiryMillisByFingerprint.entrySet().stream()
        .filter(e -> nowMillis < e.getValue())
        .map(e -> new QuarantineRecord(e.getKey(), e.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns what is known of the crashes of a fingerprint, or empty if nothing is. */
  public synchronized Optional<CrashEvidence> evidence(Fingerprint fingerprint) {
    return Optional.ofNullable(suspects.get(fingerprint));
  }

  /** Returns the suspects against which at least the given number of crashes counts. */
  synchronized ImmutableList<Fingerprint> suspects(int minCrashes, long nowMillis) {
    return suspects.entrySet().stream()
        .filter(e -> e.getValue().crashes().size() >= minCrashes)
        .map(Map.Entry::getKey)
        .filter(f -> countedCrashes(f, nowMillis).size() >= minCrashes)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the suspects whose requests may run only in trials, or not at all. */
  public synchronized ImmutableList<Fingerprint> restricted(long nowMillis) {
    return suspects(2, nowMillis).stream()
        .filter(f -> statusByEvidence(f, nowMillis).compareTo(QuarantineStatus.TRIAL_ONLY) >= 0)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the number of fingerprints with evidence on record. */
  public synchronized int suspectCount() {
    return suspects.size();
  }

  private void removeExpired(long nowMillis) {
    if (nowMillis < nextExpiryCheckMillis) {
      return;
    }
    nextExpiryCheckMillis = nowMillis + EXPIRY_CHECK_INTERVAL_MILLIS;
    expiryMillisByFingerprint.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    suspects.values().removeIf(e -> nowMillis - e.lastEventMillis() > SUSPICION_MILLIS);
  }

  private void dropLeastSuspect(long nowMillis) {
    suspects.keySet().stream()
        .min(
            Comparator.<Fingerprint>comparingInt(f -> countedCrashes(f, nowMillis).size())
                .thenComparingLong(f -> suspects.get(f).lastEventMillis()))
        .ifPresent(suspects::remove);
  }

  private void dropEarliestExpiry() {
    expiryMillisByFingerprint.entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .ifPresent(expiryMillisByFingerprint::remove);
  }

  private static <T> void dropOldestIfFull(Set<T> entries, int limit) {
    if (entries.size() > limit) {
      entries.remove(entries.iterator().next());
    }
  }
}
