package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultimap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.LongSummaryStatistics;
import java.util.Set;
import java.util.function.Predicate;
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
 * share from one that crashes upstreams. All suspects of a group are judged at once. Stateless but
 * for its table; not thread-safe.
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
   * Returns how a request may run because of a group of its suspects.
   *
   * @param ofRequest the suspects of the request that have evidence, by their groups
   */
  QuarantineStatus status(
      SuspectGroup group, ImmutableMultimap<SuspectGroup, Fingerprint> ofRequest, long nowMillis) {
    return status(group, g -> ofRequest.get(g).size() < g.size(), nowMillis);
  }

  /** Returns how a request may run that has one suspect of a group and no other suspects. */
  QuarantineStatus statusAlone(SuspectGroup group, long nowMillis) {
    return status(group, g -> g != group || g.size() > 1, nowMillis);
  }

  /** Returns how a request may run again that was lost with the suspects of a group. */
  QuarantineStatus statusOfLostRuns(SuspectGroup group, long nowMillis) {
    ImmutableSet<SuspectGroup> ofLostRuns =
        Stream.concat(Stream.of(group), inAllLostRunsOf(group))
            .collect(ImmutableSet.toImmutableSet());
    return status(group, g -> !ofLostRuns.contains(g), nowMillis);
  }

  private Stream<SuspectGroup> inAllLostRunsOf(SuspectGroup group) {
    return group.evidence().crashes().values().stream()
        .flatMap(c -> table.inFlightAt(c.crashId()).stream().filter(g -> g.wasInAllRunsOf(c)));
  }

  /**
   * Returns how a request may run because of a group.
   *
   * @param hasOthers whether a group has members that are not in the request
   */
  private QuarantineStatus status(
      SuspectGroup group, Predicate<SuspectGroup> hasOthers, long nowMillis) {
    ImmutableList<CrashRecord> counted = countedCrashes(group, nowMillis);
    if (!rule.comparesSuspects() || counted.size() < 2) {
      return weigh(group, counted, nowMillis);
    }
    ImmutableList<CrashRecord> unexplained =
        counted.stream()
            .filter(c -> !isExplainedBetter(c, group, counted.size(), hasOthers, nowMillis))
            .collect(ImmutableList.toImmutableList());
    return weigh(group, unexplained, nowMillis);
  }

  private boolean isExplainedBetter(
      CrashRecord crash,
      SuspectGroup group,
      int crashes,
      Predicate<SuspectGroup> hasOthers,
      long nowMillis) {
    return group.hasPromptParts()
        && table.inFlightAt(crash.crashId()).stream()
            .filter(hasOthers)
            .anyMatch(other -> explains(other, crash, group, crashes, nowMillis));
  }

  private boolean explains(
      SuspectGroup other, CrashRecord crash, SuspectGroup group, int crashes, long nowMillis) {
    ImmutableList<CrashRecord> counted = countedCrashes(other, nowMillis);
    CrashRecord own = other.evidence().crashes().get(crash.crashId());
    if (group.wasInAllRunsOf(own)) {
      return counted.size() >= crashes && counted.contains(own);
    }
    return counted.size() > crashes
        && weigh(other, counted, nowMillis) == QuarantineStatus.QUARANTINED;
  }

  private QuarantineStatus weigh(
      SuspectGroup group, ImmutableList<CrashRecord> crashes, long nowMillis) {
    if (crashes.isEmpty()) {
      return QuarantineStatus.CLEAR;
    }
    if (group.hasPromptParts() && isOneMoment(crashes, nowMillis)) {
      return QuarantineStatus.SUSPECT;
    }
    ImmutableList<CrashRecord> weighed =
        crashes.stream()
            .map(c -> isExplainedOtherwise(c, group) ? c.withoutIsolation() : c)
            .collect(ImmutableList.toImmutableList());
    return rule.status(weighed, c -> singlesOut(c, group, nowMillis));
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

  /** Returns the crashes that count against the members of a group by their own runs. */
  ImmutableList<CrashRecord> countedCrashes(SuspectGroup group, long nowMillis) {
    return countedCrashes(group.evidence(), nowMillis);
  }

  /** Returns the crashes in some evidence that count against what it is about. */
  ImmutableList<CrashRecord> countedCrashes(CrashEvidence evidence, long nowMillis) {
    return evidence.crashes().values().stream()
        .filter(c -> c.completionsAtSameSoftware() < rule.forgivingCompletions())
        .filter(c -> nowMillis - c.atMillis() <= Quarantine.SUSPICION_MILLIS)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether something else may explain the crash of an isolated run: an isolated run of
   * another suspect at the same upstream, or crashes of other upstreams at the same time that no
   * isolated run explains, as when a rack is lost.
   */
  private boolean isExplainedOtherwise(CrashRecord crash, SuspectGroup group) {
    if (!crash.isIsolated()) {
      return false;
    }
    Set<String> elsewhere = new HashSet<>();
    Set<String> isolated = new HashSet<>();
    table.groups().stream()
        .filter(other -> isAnother(other, group))
        .flatMap(other -> other.evidence().crashes().values().stream())
        .filter(c -> Math.abs(c.atMillis() - crash.atMillis()) <= rule.sameTimeMillis())
        .forEach(c -> (c.isIsolated() ? isolated : elsewhere).add(c.crashId()));
    elsewhere.remove(crash.crashId());
    elsewhere.removeAll(isolated);
    return isolated.contains(crash.crashId()) || !elsewhere.isEmpty();
  }

  /** Returns whether a group has members besides one member of a group. */
  private static boolean isAnother(SuspectGroup other, SuspectGroup group) {
    return other != group || group.size() > 1;
  }

  /**
   * Returns whether no suspect of another run that was in flight at a crash was so at another
   * crash, as all instances must have reported by now.
   */
  private boolean singlesOut(CrashRecord crash, SuspectGroup group, long nowMillis) {
    if (nowMillis - crash.atMillis() < rule.reportMillis()) {
      return false;
    }
    return table.inFlightAt(crash.crashId()).stream()
        .filter(other -> isAnother(other, group) && !other.wasInAllRunsOf(crash))
        .filter(other -> !group.wasInAllRunsOf(other.evidence().crashes().get(crash.crashId())))
        .noneMatch(other -> countedCrashes(other, nowMillis).size() > 1);
  }
}
