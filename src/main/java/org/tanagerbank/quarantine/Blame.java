package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.LongSummaryStatistics;
import java.util.Set;
import java.util.stream.Stream;
import org.tanagerbank.request.Fingerprint;

/**
 * Decides which suspects the crashes of upstreams are blamed on.
 *
 * <p>A crash accuses each suspect that was in flight there: the requests, and the parts of their
 * prompts. It does not count against a suspect in a request that lacks a better explanation of it:
 *
 * <ul>
 *   <li>a suspect whose runs all contained this one, and against which at least as many crashes
 *       count. So a part that many requests share is not blamed for a narrower suspect beside it,
 *       while a request that has both is restricted.
 *   <li>for a part, a suspect of other runs that is condemned by its own crashes, and against which
 *       more count.
 * </ul>
 *
 * <p>A crash is forgiven by complete runs after it, which is what tells a part that sound requests
 * share from one that crashes upstreams. Stateless but for its table; not thread-safe.
 */
final class Blame {
  /** The time in which runs of a harmless part that many requests share have completed. */
  private static final long COMPLETION_MILLIS = 2_000;

  private final SuspectTable table;
  private final QuarantineRule rule;

  Blame(SuspectTable table, QuarantineRule rule) {
    this.table = table;
    this.rule = rule;
  }

  /**
   * Returns how a request may run because of one of its suspects.
   *
   * @param ofRequest all suspects that the request has
   */
  QuarantineStatus status(
      Fingerprint suspect, ImmutableSet<Fingerprint> ofRequest, long nowMillis) {
    ImmutableList<CrashRecord> counted = countedCrashes(suspect, nowMillis);
    if (!rule.comparesSuspects() || counted.size() < 2) {
      return weigh(suspect, counted, nowMillis);
    }
    ImmutableList<CrashRecord> unexplained =
        counted.stream()
            .filter(c -> !isExplainedBetter(c, suspect, counted.size(), ofRequest, nowMillis))
            .collect(ImmutableList.toImmutableList());
    return weigh(suspect, unexplained, nowMillis);
  }

  /** Returns a suspect, and the parts that runs with it had which were lost. */
  ImmutableSet<Fingerprint> suspectsOfLostRuns(Fingerprint suspect) {
    return Stream.concat(
            Stream.of(suspect),
            table.get(suspect).crashes().values().stream().flatMap(c -> c.companions().stream()))
        .collect(ImmutableSet.toImmutableSet());
  }

  private boolean isExplainedBetter(
      CrashRecord crash,
      Fingerprint suspect,
      int crashes,
      ImmutableSet<Fingerprint> ofRequest,
      long nowMillis) {
    return table.inFlightAt(crash.crashId()).stream()
        .filter(other -> !ofRequest.contains(other))
        .anyMatch(other -> explains(other, crash, suspect, crashes, nowMillis));
  }

  private boolean explains(
      Fingerprint other, CrashRecord crash, Fingerprint suspect, int crashes, long nowMillis) {
    ImmutableList<CrashRecord> counted = countedCrashes(other, nowMillis);
    CrashRecord own = table.get(other).crashes().get(crash.crashId());
    if (own.companions().contains(suspect)) {
      return counted.size() >= crashes && counted.contains(own);
    }
    return suspect.isPromptPart()
        && counted.size() > crashes
        && weigh(other, counted, nowMillis) == QuarantineStatus.QUARANTINED;
  }

  private QuarantineStatus weigh(
      Fingerprint suspect, ImmutableList<CrashRecord> crashes, long nowMillis) {
    if (crashes.isEmpty()) {
      return QuarantineStatus.CLEAR;
    }
    if (suspect.isPromptPart() && isOneMoment(crashes, nowMillis)) {
      return QuarantineStatus.SUSPECT;
    }
    ImmutableList<CrashRecord> weighed =
        crashes.stream()
            .map(c -> isExplainedOtherwise(c, suspect) ? c.withoutIsolation() : c)
            .collect(ImmutableList.toImmutableList());
    return rule.status(weighed, c -> singlesOut(c, suspect, nowMillis));
  }

  /**
   * Returns whether crashes of several upstreams came at the same time, as when a rack is lost.
   * Many requests share a part, so that it may be in flight at all of them; if it is harmless, runs
   * with it complete soon after.
   */
  private boolean isOneMoment(ImmutableList<CrashRecord> crashes, long nowMillis) {
    LongSummaryStatistics times =
        crashes.stream().mapToLong(CrashRecord::atMillis).summaryStatistics();
    return times.getMax() - times.getMin() <= rule.sameTimeMillis()
        && nowMillis - times.getMax() <= COMPLETION_MILLIS;
  }

  /** Returns the crashes that count against a suspect by its own runs. */
  ImmutableList<CrashRecord> countedCrashes(Fingerprint suspect, long nowMillis) {
    return table.get(suspect).crashes().values().stream()
        .filter(c -> c.completionsAtSameSoftware() < rule.forgivingCompletions())
        .filter(c -> nowMillis - c.atMillis() <= Quarantine.SUSPICION_MILLIS)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether something else may explain the crash of an isolated run: an isolated run of
   * another suspect at the same upstream, or crashes of other upstreams at the same time that no
   * isolated run explains, as when a rack is lost.
   */
  private boolean isExplainedOtherwise(CrashRecord crash, Fingerprint suspect) {
    if (!crash.isIsolated()) {
      return false;
    }
    Set<String> elsewhere = new HashSet<>();
    Set<String> isolated = new HashSet<>();
    table.entries().stream()
        .filter(e -> !e.getKey().equals(suspect))
        .flatMap(e -> e.getValue().crashes().values().stream())
        .filter(c -> Math.abs(c.atMillis() - crash.atMillis()) <= rule.sameTimeMillis())
        .forEach(c -> (c.isIsolated() ? isolated : elsewhere).add(c.crashId()));
    elsewhere.remove(crash.crashId());
    elsewhere.removeAll(isolated);
    return isolated.contains(crash.crashId()) || !elsewhere.isEmpty();
  }

  /**
   * Returns whether no suspect of another run that was in flight at a crash was so at another
   * crash, as all instances must have reported by now.
   */
  private boolean singlesOut(CrashRecord crash, Fingerprint suspect, long nowMillis) {
    if (nowMillis - crash.atMillis() < rule.reportMillis()) {
      return false;
    }
    return table.inFlightAt(crash.crashId()).stream()
        .filter(other -> !other.equals(suspect) && !crash.companions().contains(other))
        .filter(other -> !companions(other, crash).contains(suspect))
        .noneMatch(other -> countedCrashes(other, nowMillis).size() > 1);
  }

  private ImmutableSet<Fingerprint> companions(Fingerprint suspect, CrashRecord crash) {
    return table.get(suspect).crashes().get(crash.crashId()).companions();
  }
}
