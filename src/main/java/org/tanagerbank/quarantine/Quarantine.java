package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.request.Fingerprint;

/**
 * Decides from reported crashes which requests must run alone and which must not run.
 *
 * <p>Every fingerprint in flight at a crash becomes a suspect. A fingerprint that was in flight at
 * two crashes is quarantined only if it was the only one in flight at one of them. A crash with
 * several requests in flight does not show which of them caused it: two such crashes may each have
 * been caused by a different other request. Because suspects run alone, a request that does crash
 * engines is normally the only one in flight at its second crash. A suspect that runs to its end is
 * cleared.
 *
 * <p>Records from the log stream and from links are merged; their order and repetition do not
 * matter. State is bounded: when a limit is reached, the suspect with the oldest crash, the
 * quarantine that expires first or the oldest crash id is dropped. Thread-safe: all methods
 * synchronize on this object.
 */
public final class Quarantine {
  /** How long a quarantine lasts after the last crash that caused it. */
  public static final long QUARANTINE_MILLIS = 3_600_000;

  /** How long a fingerprint remains a suspect after its last crash unless it runs to its end. */
  public static final long SUSPICION_MILLIS = 3_600_000;

  private static final int MAX_SUSPECTS = 10_000;
  private static final int MAX_QUARANTINED = 10_000;
  private static final int MAX_CRASH_IDS = 10_000;

  private final Map<Fingerprint, CrashEvidence> suspects = new HashMap<>();
  private final Map<Fingerprint, Long> expiryMillisByFingerprint = new HashMap<>();
  private final Set<String> seenCrashIds = new LinkedHashSet<>();

  /**
   * Crashes at which one fingerprint was in flight.
   *
   * @param crashes the number of crashes
   * @param hasSoloCrash whether it was the only fingerprint in flight at one of them
   * @param lastCrashAtMillis the time of the last of them, in milliseconds
   */
  private record CrashEvidence(int crashes, boolean hasSoloCrash, long lastCrashAtMillis) {
    static final CrashEvidence NONE = new CrashEvidence(0, false, 0);

    CrashEvidence plus(CrashReport crash) {
      return new CrashEvidence(
          crashes + 1,
          hasSoloCrash || crash.hasSingleFingerprint(),
          Math.max(lastCrashAtMillis, crash.atMillis()));
    }
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
    dropOldestIfFull(seenCrashIds);
    return crash.inFlight().stream()
        .flatMap(fingerprint -> addEvidence(fingerprint, crash, nowMillis).stream())
        .collect(ImmutableList.toImmutableList());
  }

  /** Records that a request ran to its end without a crash, and clears its suspicion. */
  public synchronized void recordCompletion(Fingerprint fingerprint) {
    suspects.remove(fingerprint);
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
    Long knownExpiry = expiryMillisByFingerprint.get(received.fingerprint());
    if (newExpiry <= nowMillis || (knownExpiry != null && knownExpiry >= newExpiry)) {
      return false;
    }
    if (knownExpiry == null && expiryMillisByFingerprint.size() >= MAX_QUARANTINED) {
      dropEarliestExpiry();
    }
    expiryMillisByFingerprint.put(received.fingerprint(), newExpiry);
    return knownExpiry == null;
  }

  /** Returns whether a fingerprint is clear, suspect or quarantined. */
  public synchronized QuarantineStatus status(Fingerprint fingerprint, long nowMillis) {
    Long untilMillis = expiryMillisByFingerprint.get(fingerprint);
    if (untilMillis != null && nowMillis < untilMillis) {
      return QuarantineStatus.QUARANTINED;
    }
    CrashEvidence evidence = suspects.get(fingerprint);
    return evidence != null && nowMillis - evidence.lastCrashAtMillis() <= SUSPICION_MILLIS
        ? QuarantineStatus.SUSPECT
        : QuarantineStatus.CLEAR;
  }

  /**
   * Returns when the quarantine of a fingerprint ends, in milliseconds, or empty if there is none.
   */
  public synchronized Optional<Long> expiryMillis(Fingerprint fingerprint, long nowMillis) {
    return Optional.ofNullable(expiryMillisByFingerprint.get(fingerprint))
        .filter(untilMillis -> nowMillis < untilMillis);
  }

  /** Returns all quarantines in force, to be sent on a link that was just opened. */
  public synchronized ImmutableList<QuarantineRecord> activeRecords(long nowMillis) {
    removeExpired(nowMillis);
    return expiryMillisByFingerprint.entrySet().stream()
        .map(e -> new QuarantineRecord(e.getKey(), e.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the number of suspects. */
  public synchronized int suspectCount() {
    return suspects.size();
  }

  private Optional<QuarantineRecord> addEvidence(
      Fingerprint fingerprint, CrashReport crash, long nowMillis) {
    if (suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(fingerprint)) {
      dropOldestSuspect();
    }
    CrashEvidence evidence = suspects.getOrDefault(fingerprint, CrashEvidence.NONE).plus(crash);
    if (evidence.crashes() < 2 || !evidence.hasSoloCrash()) {
      suspects.put(fingerprint, evidence);
      return Optional.empty();
    }
    suspects.remove(fingerprint);
    QuarantineRecord newQuarantine =
        new QuarantineRecord(fingerprint, evidence.lastCrashAtMillis() + QUARANTINE_MILLIS);
    return merge(newQuarantine, nowMillis) ? Optional.of(newQuarantine) : Optional.empty();
  }

  private void removeExpired(long nowMillis) {
    expiryMillisByFingerprint.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    suspects.values().removeIf(s -> nowMillis - s.lastCrashAtMillis() > SUSPICION_MILLIS);
  }

  private void dropOldestSuspect() {
    suspects.entrySet().stream()
        .min(Comparator.comparingLong(e -> e.getValue().lastCrashAtMillis()))
        .map(Map.Entry::getKey)
        .ifPresent(suspects::remove);
  }

  private void dropEarliestExpiry() {
    expiryMillisByFingerprint.entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .ifPresent(expiryMillisByFingerprint::remove);
  }

  private static void dropOldestIfFull(Set<String> ids) {
    if (ids.size() > MAX_CRASH_IDS) {
      ids.remove(ids.iterator().next());
    }
  }
}
