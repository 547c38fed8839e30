package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Ordering;
import java.util.Collection;
import java.util.Map;
import java.util.stream.Stream;

/**
 * One crash of an upstream at which runs of a suspect were in flight.
 *
 * <p>Immutable and thread-safe.
 *
 * @param crashId identifies the crash; all processes that observe a crash use the same id
 * @param depth 1 more than the depth of the crashes that were known when the request was sent. Runs
 *     that were sent at the same time have the same depth, however many of them there were
 * @param isIsolated whether the request was sent with the precautions for suspects: alone at its
 *     upstream, or as the only run of its fingerprint in the fleet
 * @param atMillis the time of the crash, in milliseconds
 * @param conditions the conditions of the run
 * @param completions the number of runs with the same prompt that are known to have completed since
 *     the crash, by the hash of their software; at least as many did
 * @param runs the ids of the lost runs that had the suspect, of many the {@link #MAX_RUNS} lowest;
 *     empty if they are not known
 */
public record CrashRecord(
    String crashId,
    int depth,
    boolean isIsolated,
    long atMillis,
    RunConditions conditions,
    ImmutableMap<Integer, Integer> completions,
    ImmutableSortedSet<Integer> runs) {
  /** More runs than an upstream has in flight. All processes keep the same ones of more. */
  static final int MAX_RUNS = 256;

  /** Creates the record of a crash after which no run is known to have completed. */
  public CrashRecord(
      String crashId, int depth, boolean isIsolated, long atMillis, RunConditions conditions) {
    this(crashId, depth, isIsolated, atMillis, conditions, ImmutableMap.of());
  }

  /** Creates the record of a crash under runs that are not known. */
  public CrashRecord(
      String crashId,
      int depth,
      boolean isIsolated,
      long atMillis,
      RunConditions conditions,
      ImmutableMap<Integer, Integer> completions) {
    this(crashId, depth, isIsolated, atMillis, conditions, completions, ImmutableSortedSet.of());
  }

  /** Returns this record of the given lost runs. */
  public CrashRecord withRuns(Collection<Integer> lost) {
    return new CrashRecord(
        crashId, depth, isIsolated, atMillis, conditions, completions, lowest(lost.stream()));
  }

  private static ImmutableSortedSet<Integer> lowest(Stream<Integer> runs) {
    return runs.sorted()
        .distinct()
        .limit(MAX_RUNS)
        .collect(ImmutableSortedSet.toImmutableSortedSet(Ordering.natural()));
  }

  /**
   * Returns whether each lost run with the suspect of this record also had the suspect of another
   * one, as far as the runs are known.
   */
  boolean isWithin(CrashRecord other) {
    return !runs.isEmpty() && !other.runs.isEmpty() && runs.stream().allMatch(other::mayHave);
  }

  /** Returns whether a run had the suspect, or would not be listed because there are too many. */
  private boolean mayHave(int run) {
    return runs.contains(run) || (runs.size() == MAX_RUNS && run > runs.last());
  }

  /** Merges two observations of the same crash; the order does not matter. */
  CrashRecord mergeWith(CrashRecord other) {
    return new CrashRecord(
        crashId,
        Math.max(depth, other.depth),
        isIsolated && other.isIsolated,
        Math.min(atMillis, other.atMillis),
        conditions.mergeWith(other.conditions),
        Stream.concat(completions.entrySet().stream(), other.completions.entrySet().stream())
            .collect(
                ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue, Math::max)),
        runs.equals(other.runs) ? runs : lowest(Stream.concat(runs.stream(), other.runs.stream())));
  }

  CrashRecord shiftBy(long millis) {
    return new CrashRecord(
        crashId, depth, isIsolated, atMillis + millis, conditions, completions, runs);
  }

  CrashRecord withoutIsolation() {
    return new CrashRecord(crashId, depth, false, atMillis, conditions, completions, runs);
  }

  /** Returns the number of runs that are known to have completed since, with the given software. */
  int completionsAt(int software) {
    return completions.getOrDefault(software, 0);
  }

  /** Returns the number of runs that are known to have completed since, with the same software. */
  int completionsAtSameSoftware() {
    return completionsAt(conditions.software());
  }

  /**
   * Returns this record with one more completed run, which tells nothing about the crash if its
   * prompt was another one. Any run counts if the conditions of the lost one are not known, as an
   * instance of an older build reports them.
   *
   * @param maxCompletions the number up to which completed runs are counted
   */
  CrashRecord withCompletion(RunConditions completed, int maxCompletions) {
    boolean isUnknown = conditions.equals(RunConditions.UNKNOWN);
    int software = isUnknown ? conditions.software() : completed.software();
    int known = completionsAt(software);
    boolean isSamePrompt = isUnknown || conditions.prompt() == completed.prompt();
    if (!isSamePrompt || known >= maxCompletions) {
      return this;
    }
    ImmutableMap<Integer, Integer> counted =
        ImmutableMap.<Integer, Integer>builder()
            .putAll(completions)
            .put(software, known + 1)
            .buildKeepingLast();
    return new CrashRecord(crashId, depth, isIsolated, atMillis, conditions, counted, runs);
  }
}
