package org.tanagerbank.quarantine;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.function.Function;

/**
 * What is known of the runs of one fingerprint: the crashes at which it was in flight, each with
 * the runs that completed since.
 *
 * <p>Merging is commutative and idempotent, so processes that exchange their evidence in any order,
 * and any number of times, agree in the end. At most {@link #MAX_CRASHES} crashes are kept, the
 * latest. Immutable and thread-safe.
 *
 * @param crashes the crashes, by crash id
 * @param undecidedTrials the trials that proved nothing
 */
public record CrashEvidence(
    ImmutableMap<String, CrashRecord> crashes, UndecidedTrials undecidedTrials) {
  /** A time before all others. Shifting it by any real time leaves it in the past. */
  public static final long NEVER = Long.MIN_VALUE / 2;

  /** No evidence at all. */
  public static final CrashEvidence NONE =
      new CrashEvidence(ImmutableMap.of(), UndecidedTrials.NONE);

  private static final int MAX_CRASHES = 12;

  private static final Comparator<CrashRecord> LATEST_FIRST =
      Comparator.comparingLong(CrashRecord::atMillis)
          .reversed()
          .thenComparing(CrashRecord::crashId);

  /** Returns evidence of the given crashes. */
  public static CrashEvidence of(Collection<CrashRecord> crashes) {
    return of(crashes, UndecidedTrials.NONE);
  }

  /** Returns evidence of the given crashes and trials. */
  public static CrashEvidence of(Collection<CrashRecord> crashes, UndecidedTrials undecidedTrials) {
    // Two observations of one crash are merged first, so that they do not count twice.
    ImmutableMap<String, CrashRecord> byId =
        crashes.stream()
            .collect(
                toImmutableMap(CrashRecord::crashId, Function.identity(), CrashRecord::mergeWith));
    return new CrashEvidence(
        byId.values().stream()
            .sorted(LATEST_FIRST)
            .limit(MAX_CRASHES)
            .collect(toImmutableMap(CrashRecord::crashId, Function.identity())),
        undecidedTrials);
  }

  CrashEvidence plus(CrashRecord crash) {
    return mergeWith(of(ImmutableList.of(crash)));
  }

  /**
   * Returns this evidence after a run completed.
   *
   * @param maxCompletions the number up to which completed runs after a crash are counted
   */
  CrashEvidence plusCompletion(RunConditions completed, int maxCompletions) {
    return new CrashEvidence(
        crashes.values().stream()
            .map(c -> c.withCompletion(completed, maxCompletions))
            .collect(toImmutableMap(CrashRecord::crashId, Function.identity())),
        undecidedTrials);
  }

  /** Returns this evidence after a trial that proved nothing. */
  CrashEvidence withUndecidedTrial(boolean wasMisdirected, long nowMillis) {
    return new CrashEvidence(
        crashes,
        wasMisdirected
            ? undecidedTrials.plusMisdirected(nowMillis)
            : undecidedTrials.plusOne(nowMillis));
  }

  CrashEvidence mergeWith(CrashEvidence other) {
    ImmutableList<CrashRecord> all =
        ImmutableList.<CrashRecord>builder()
            .addAll(crashes.values())
            .addAll(other.crashes.values())
            .build();
    return of(all, undecidedTrials.mergeWith(other.undecidedTrials));
  }

  /** Returns this evidence with all times moved, for example to make them relative to now. */
  public CrashEvidence shiftBy(long millis) {
    return new CrashEvidence(
        crashes.values().stream()
            .map(c -> c.shiftBy(millis))
            .collect(toImmutableMap(CrashRecord::crashId, Function.identity())),
        undecidedTrials.shiftBy(millis));
  }

  /** Returns the time of the latest crash, in milliseconds. */
  long lastCrashMillis() {
    return crashes.values().stream().mapToLong(CrashRecord::atMillis).max().orElse(NEVER);
  }
}
