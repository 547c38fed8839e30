package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
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

  private static final int MAX_CRASH_IDS = 10_000;

  private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 1_000;

  private final QuarantineRule rule;
  private final SuspectTable suspects = new SuspectTable();
  private final Blame blame;
  private final RecordedQuarantines recorded = new RecordedQuarantines();
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
    CrashRecord lostRun =
        new CrashRecord(
            crash.crashId(),
            depth,
            crash.hasSingleFingerprint(),
            crash.atMillis(),
            RunConditions.UNKNOWN);
    ImmutableSet<Fingerprint> alone = ImmutableSet.of(fingerprint);
    recordLostRun(alone, lostRun, nowMillis);
    if (blamed(fingerprint, alone, nowMillis) != QuarantineStatus.QUARANTINED) {
      return Optional.empty();
    }
    long lastCrashAtMillis = suspects.remove(fingerprint).lastCrashMillis();
    QuarantineRecord newQuarantine =
        new QuarantineRecord(fingerprint, lastCrashAtMillis + QUARANTINE_MILLIS);
    return merge(newQuarantine, nowMillis) ? Optional.of(newQuarantine) : Optional.empty();
  }

  /**
   * Records that a run was lost in a crash of its upstream.
   *
   * @param inRun suspects of the run to which the record of the crash applies alike
   * @return those for which that is new
   */
  public ImmutableList<Fingerprint> recordLostRun(
      Collection<Fingerprint> inRun, CrashRecord crash, long nowMillis) {
    return mergeEvidence(inRun, CrashEvidence.NONE.plus(crash), nowMillis);
  }

  /**
   * Merges what another instance knows of some fingerprints, and returns those for which anything
   * is new.
   *
   * @param received the evidence on each of them, with times of the clock of {@code nowMillis}
   */
  public synchronized ImmutableList<Fingerprint> mergeEvidence(
      Collection<Fingerprint> fingerprints, CrashEvidence received, long nowMillis) {
    removeExpired(nowMillis);
    return update(
        fingerprints,
        known -> {
          CrashEvidence merged = known.mergeWith(received);
          return nowMillis - merged.lastCrashMillis() > SUSPICION_MILLIS ? known : merged;
        },
        nowMillis);
  }

  /**
   * Records that a request ran to its end without a crash at the upstream of this process. Returns
   * whether a crash counted against it.
   */
  public boolean recordCompletion(Fingerprint fingerprint, long nowMillis) {
    ImmutableSet<Fingerprint> alone = ImmutableSet.of(fingerprint);
    return !recordCompletion(alone, () -> RunConditions.UNKNOWN, nowMillis).isEmpty();
  }

  /**
   * Records that a request ran to its end without a crash, and returns the suspects for which that
   * is new evidence about a crash that counted against them.
   *
   * @param inRun suspects of the run to which the same conditions apply
   * @param conditions returns the conditions of the run; called only if a crash counts
   */
  public synchronized ImmutableList<Fingerprint> recordCompletion(
      Collection<Fingerprint> inRun, Supplier<RunConditions> conditions, long nowMillis) {
    return update(
        suspects.groupsOf(inRun).values(),
        known ->
            blame.countedCrashes(known, nowMillis).isEmpty()
                ? known
                : known.plusCompletion(conditions.get(), rule.forgivingCompletions()),
        nowMillis);
  }

  /**
   * Records a trial that did not show whether the request crashes upstreams.
   *
   * @param wasMisdirected whether it met another process at the address of its upstream
   */
  public synchronized void recordUndecidedTrial(
      Fingerprint fingerprint, boolean wasMisdirected, long nowMillis) {
    update(
        suspects.groupsOf(ImmutableSet.of(fingerprint)).values(),
        known -> known.withUndecidedTrial(wasMisdirected, nowMillis),
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
    return recorded.merge(received, nowMillis);
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
    return recorded.expiryMillis(suspect, nowMillis).isPresent()
        ? QuarantineStatus.QUARANTINED
        : blamed(suspect, ofRequest, nowMillis);
  }

  private QuarantineStatus blamed(
      Fingerprint suspect, ImmutableSet<Fingerprint> ofRequest, long nowMillis) {
    return suspects
        .group(suspect)
        .map(g -> blame.status(g, suspects.groupsOf(ofRequest), nowMillis))
        .orElse(QuarantineStatus.CLEAR);
  }

  /**
   * Returns the suspects of a request that are not clear, and how it may run because of each.
   *
   * @param ofRequest the fingerprints of the request and of the parts of its prompt
   */
  public synchronized ImmutableMap<Fingerprint, QuarantineStatus> statuses(
      ImmutableSet<Fingerprint> ofRequest, long nowMillis) {
    ImmutableListMultimap<SuspectGroup, Fingerprint> groups = suspects.groupsOf(ofRequest);
    return bySuspect(
        groups, g -> blame.status(g, groups, nowMillis), s -> s != QuarantineStatus.CLEAR);
  }

  /**
   * Returns the suspects of some that are not clear for a request with no other suspect, and how
   * such a request may run.
   */
  public synchronized ImmutableMap<Fingerprint, QuarantineStatus> statusesAlone(
      Collection<Fingerprint> fingerprints, long nowMillis) {
    return bySuspect(
        suspects.groupsOf(fingerprints),
        g -> blame.statusAlone(g, nowMillis),
        s -> s != QuarantineStatus.CLEAR);
  }

  /** Returns what is true of each suspect in some groups, without what is not of interest. */
  private static <T> ImmutableMap<Fingerprint, T> bySuspect(
      ImmutableListMultimap<SuspectGroup, Fingerprint> groups,
      Function<SuspectGroup, T> property,
      Predicate<T> isOfInterest) {
    ImmutableMap.Builder<Fingerprint, T> properties = ImmutableMap.builder();
    for (SuspectGroup group : groups.keySet()) {
      T value = property.apply(group);
      if (isOfInterest.test(value)) {
        groups.get(group).forEach(s -> properties.put(s, value));
      }
    }
    return properties.buildKeepingLast();
  }

  private ImmutableList<CrashRecord> countedCrashes(Fingerprint fingerprint, long nowMillis) {
    return blame.countedCrashes(suspects.get(fingerprint), nowMillis);
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
   * Returns whether some fingerprints are known to be harmless to upstreams with the given
   * software: no crash of such an upstream counts against any, and enough runs completed there
   * since the crashes that count.
   */
  public synchronized boolean areHarmlessTo(
      int software, Collection<Fingerprint> fingerprints, long nowMillis) {
    return suspects.groupsOf(fingerprints).keySet().stream()
        .flatMap(g -> blame.countedCrashes(g, nowMillis).stream())
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
    return depth(suspects.get(fingerprint), nowMillis);
  }

  private int depth(CrashEvidence evidence, long nowMillis) {
    return blame.countedCrashes(evidence, nowMillis).stream()
        .mapToInt(CrashRecord::depth)
        .max()
        .orElse(0);
  }

  /** Returns the {@linkplain #depth depths} of some fingerprints, without those of 0. */
  public synchronized ImmutableMap<Fingerprint, Integer> depths(
      Collection<Fingerprint> fingerprints, long nowMillis) {
    return bySuspect(
        suspects.groupsOf(fingerprints), g -> depth(g.evidence(), nowMillis), d -> d > 0);
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
    Optional<Long> known = recorded.expiryMillis(suspect, nowMillis);
    if (known.isPresent()
        || blamed(suspect, ofRequest, nowMillis) != QuarantineStatus.QUARANTINED) {
      return known;
    }
    return Optional.of(suspects.get(suspect).lastCrashMillis() + SUSPICION_MILLIS);
  }

  /** Returns all quarantines in force, to be sent on a link that was just opened. */
  public synchronized ImmutableList<QuarantineRecord> activeRecords(long nowMillis) {
    return recorded.active(nowMillis);
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
    return groups(minCrashes, nowMillis)
        .flatMap(g -> g.members().stream())
        .collect(ImmutableList.toImmutableList());
  }

  private Stream<SuspectGroup> groups(int minCrashes, long nowMillis) {
    return suspects.groups().stream()
        .filter(g -> g.evidence().crashes().size() >= minCrashes)
        .filter(g -> blame.countedCrashes(g, nowMillis).size() >= minCrashes);
  }

  /**
   * Returns the suspects for which requests like those that were lost may run only in trials, or
   * not at all.
   */
  public synchronized ImmutableList<Fingerprint> restricted(long nowMillis) {
    return groups(2, nowMillis)
        .filter(
            g -> blame.statusOfLostRuns(g, nowMillis).compareTo(QuarantineStatus.TRIAL_ONLY) >= 0)
        .flatMap(g -> g.members().stream())
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
    recorded.removeExpired(nowMillis);
    suspects.removeOlderThan(nowMillis - SUSPICION_MILLIS);
  }

  private ImmutableList<Fingerprint> update(
      Collection<Fingerprint> changed, UnaryOperator<CrashEvidence> change, long nowMillis) {
    return suspects.update(changed, change, e -> blame.countedCrashes(e, nowMillis).size());
  }

  private static <T> void dropOldestIfFull(Set<T> entries, int limit) {
    if (entries.size() > limit) {
      entries.remove(entries.iterator().next());
    }
  }
}
