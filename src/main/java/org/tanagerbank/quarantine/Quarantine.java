package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.tanagerbank.request.Fingerprint;

/**
 * Decides from crashes of upstreams which requests must run apart from others and which must not
 * run.
 *
 * <p>Every fingerprint in flight at a crash, of a request or of a part of its prompt, becomes a
 * suspect; {@link Blame} decides which of them a crash counts against. A crash with several
 * requests in flight does not show which of them caused it: two such crashes may each have been
 * caused by a different other request. A {@link QuarantineRule} therefore weighs the crashes of a
 * fingerprint, and suspects run under conditions that single out the cause. Runs that complete
 * after a crash, under the conditions of the run that was lost, make the crash not count any more.
 *
 * <p>Records from the log stream, from links and from other instances are merged; their order and
 * repetition do not matter. State is bounded: when a limit is reached, the suspect with the fewest
 * crashes, the quarantine that expires first, or the oldest crash id is dropped. Thread-safe: all
 * methods synchronize on this object.
 */
public final class Quarantine {
  /** How long a quarantine lasts after the last crash that caused it. */
  public static final long QUARANTINE_MILLIS = 3_600_000;

  /** How long a fingerprint remains a suspect after its last crash unless it runs to its end. */
  public static final long SUSPICION_MILLIS = 3_600_000;

  private static final int MAX_QUARANTINED = 10_000;
  private static final int MAX_CRASH_IDS = 10_000;

  private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 1_000;

  private final QuarantineRule rule;
  private final SuspectTable suspects = new SuspectTable();
  private final Blame blame;
  private final Map<Fingerprint, Long> expiryMillisByFingerprint = new HashMap<>();
  private final Set<String> seenCrashIds = new LinkedHashSet<>();

  private long nextExpiryCheckMillis = Long.MIN_VALUE;

  /** Creates a quarantine for the requests of an upstream that only this process uses. */
  public Quarantine() {
    this(QuarantineRule.SOLE_ACCESS);
  }

  /** Creates a quarantine that decides by the given rule. */
  public Quarantine(QuarantineRule rule) {
    this.rule = rule;
    this.blame = new Blame(suspects, rule);
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
        new CrashRecord(
            crash.crashId(),
            depth,
            crash.hasSingleFingerprint(),
            crash.atMillis(),
            RunConditions.UNKNOWN),
        nowMillis);
    if (blame.status(fingerprint, ImmutableSet.of(fingerprint), nowMillis)
        != QuarantineStatus.QUARANTINED) {
      return Optional.empty();
    }
    long lastCrashAtMillis = suspects.remove(fingerprint).lastCrashMillis();
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
    CrashEvidence known = suspects.get(fingerprint);
    CrashEvidence merged = known.mergeWith(received);
    if (merged.equals(known) || nowMillis - merged.lastCrashMillis() > SUSPICION_MILLIS) {
      return false;
    }
    put(fingerprint, merged, nowMillis);
    return true;
  }

  /**
   * Records that a request ran to its end without a crash at the upstream of this process. Returns
   * whether a crash counted against it.
   */
  public boolean recordCompletion(Fingerprint fingerprint, long nowMillis) {
    return recordCompletion(fingerprint, () -> RunConditions.UNKNOWN, nowMillis);
  }

  /**
   * Records that a request ran to its end without a crash, and returns whether that is new evidence
   * about a crash that counted against it.
   *
   * @param conditions returns the conditions of the run; called only if a crash counts
   */
  public synchronized boolean recordCompletion(
      Fingerprint fingerprint, Supplier<RunConditions> conditions, long nowMillis) {
    if (countedCrashes(fingerprint, nowMillis).isEmpty()) {
      return false;
    }
    CrashEvidence before = suspects.get(fingerprint);
    CrashEvidence after = before.plusCompletion(conditions.get(), rule.forgivingCompletions());
    put(fingerprint, after, nowMillis);
    return !after.equals(before);
  }

  /**
   * Records a trial that did not show whether the request crashes upstreams.
   *
   * @param wasMisdirected whether it met another process at the address of its upstream
   */
  public synchronized void recordUndecidedTrial(
      Fingerprint fingerprint, boolean wasMisdirected, long nowMillis) {
    if (!suspects.contains(fingerprint)) {
      return;
    }
    CrashEvidence known = suspects.get(fingerprint);
    UndecidedTrials trials = known.undecidedTrials();
    put(
        fingerprint,
        known.withUndecidedTrials(
            wasMisdirected ? trials.plusMisdirected(nowMillis) : trials.plusOne(nowMillis)),
        nowMillis);
  }

  /** Returns the time from which the next trial of a fingerprint may start, in milliseconds. */
  public synchronized long nextTrialMillis(Fingerprint fingerprint) {
    return suspects.get(fingerprint).undecidedTrials().nextTrialMillis();
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

  /** Returns how requests may run that have a fingerprint and no other suspect. */
  public QuarantineStatus status(Fingerprint fingerprint, long nowMillis) {
    return status(fingerprint, ImmutableSet.of(fingerprint), nowMillis);
  }

  /**
   * Returns how a request may run because of one of its suspects.
   *
   * @param ofRequest the fingerprints of the request and of the parts of its prompt
   */
  public synchronized QuarantineStatus status(
      Fingerprint suspect, ImmutableSet<Fingerprint> ofRequest, long nowMillis) {
    return recordedExpiry(suspect, nowMillis).isPresent()
        ? QuarantineStatus.QUARANTINED
        : blame.status(suspect, ofRequest, nowMillis);
  }

  private ImmutableList<CrashRecord> countedCrashes(Fingerprint fingerprint, long nowMillis) {
    return blame.countedCrashes(fingerprint, nowMillis);
  }

  private int countedCrashCount(Fingerprint fingerprint, long nowMillis) {
    return countedCrashes(fingerprint, nowMillis).size();
  }

  /** Returns whether no crash counts against a fingerprint here, but some do in other evidence. */
  public synchronized boolean hasForgiven(
      Fingerprint fingerprint, CrashEvidence other, long nowMillis) {
    return suspects.contains(fingerprint)
        && countedCrashes(fingerprint, nowMillis).isEmpty()
        && other.crashes().values().stream()
            .anyMatch(c -> c.completionsAtSameSoftware() < rule.forgivingCompletions());
  }

  /**
   * Returns whether a fingerprint is known to be harmless to upstreams with the given software: no
   * crash of such an upstream counts against it, and enough runs completed there since the crashes
   * that count.
   */
  public synchronized boolean isHarmlessTo(int software, Fingerprint fingerprint, long nowMillis) {
    return countedCrashes(fingerprint, nowMillis).stream()
        .allMatch(
            c ->
                c.conditions().software() != software
                    && c.completionsAt(software) >= rule.forgivingCompletions());
  }

  /** Returns the hashes of the software whose crashes count against a fingerprint. */
  public synchronized ImmutableSet<Integer> crashedSoftware(
      Fingerprint fingerprint, long nowMillis) {
    return countedCrashes(fingerprint, nowMillis).stream()
        .map(c -> c.conditions().software())
        .collect(ImmutableSet.toImmutableSet());
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
  public Optional<Long> expiryMillis(Fingerprint fingerprint, long nowMillis) {
    return expiryMillis(fingerprint, ImmutableSet.of(fingerprint), nowMillis);
  }

  /**
   * Returns when the quarantine of a request because of one of its suspects ends, in milliseconds,
   * or empty if there is none.
   *
   * @param ofRequest the fingerprints of the request and of the parts of its prompt
   */
  public synchronized Optional<Long> expiryMillis(
      Fingerprint suspect, ImmutableSet<Fingerprint> ofRequest, long nowMillis) {
    Optional<Long> recorded = recordedExpiry(suspect, nowMillis);
    if (recorded.isPresent()
        || blame.status(suspect, ofRequest, nowMillis) != QuarantineStatus.QUARANTINED) {
      return recorded;
    }
    return Optional.of(suspects.get(suspect).lastCrashMillis() + SUSPICION_MILLIS);
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
    return Optional.of(fingerprint).filter(suspects::contains).map(suspects::get);
  }

  /** Returns whether a suspect was in flight at several crashes, forgiven or not. */
  boolean hasSeveralCrashes(Fingerprint suspect) {
    return crashCount(suspect) > 1;
  }

  /** Returns at how many crashes a suspect was in flight, forgiven or not. */
  synchronized int crashCount(Fingerprint suspect) {
    return suspects.get(suspect).crashes().size();
  }

  /** Returns the suspects against which at least the given number of crashes counts. */
  synchronized ImmutableList<Fingerprint> suspects(int minCrashes, long nowMillis) {
    return suspects.entries().stream()
        .filter(e -> e.getValue().crashes().size() >= minCrashes)
        .map(Map.Entry::getKey)
        .filter(f -> countedCrashCount(f, nowMillis) >= minCrashes)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the suspects for which requests like those that were lost may run only in trials, or
   * not at all.
   */
  public synchronized ImmutableList<Fingerprint> restricted(long nowMillis) {
    return suspects(2, nowMillis).stream()
        .filter(
            f ->
                blame
                        .status(f, blame.suspectsOfLostRuns(f), nowMillis)
                        .compareTo(QuarantineStatus.TRIAL_ONLY)
                    >= 0)
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
    suspects.removeOlderThan(nowMillis - SUSPICION_MILLIS);
  }

  private void put(Fingerprint suspect, CrashEvidence updated, long nowMillis) {
    suspects.put(suspect, updated, f -> countedCrashCount(f, nowMillis));
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
