package org.tanagerbank.quarantine;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.function.Function;

/**
 * What is known of the runs of one fingerprint: crashes at which it was in flight, and its last
 * complete run.
 *
 * <p>Merging is commutative and idempotent, so processes that exchange their evidence in any order,
 * and any number of times, agree in the end. At most {@link #MAX_CRASHES} crashes are kept, the
 * latest. Immutable and thread-safe.
 *
 * @param crashes the crashes, by crash id
 * @param completedAtMillis the time at which a run last completed, in milliseconds; {@link #NEVER}
 *     if none is known
 */
public record CrashEvidence(ImmutableMap<String, CrashRecord> crashes, long completedAtMillis) {
  /** The time of a run that never completed. Shifting it by any real time leaves it in the past. */
  public static final long NEVER = Long.MIN_VALUE / 2;

  static final CrashEvidence NONE = new CrashEvidence(ImmutableMap.of(), NEVER);

  private static final int MAX_CRASHES = 12;

  private static final Comparator<CrashRecord> LATEST_FIRST =
      Comparator.comparingLong(CrashRecord::atMillis)
          .reversed()
          .thenComparing(CrashRecord::crashId);

  /** Returns evidence of the given crashes. */
  public static CrashEvidence of(Collection<CrashRecord> crashes, long completedAtMillis) {
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
        completedAtMillis);
  }

  CrashEvidence plus(CrashRecord crash) {
    return mergeWith(of(ImmutableList.of(crash), NEVER));
  }

  CrashEvidence completedAt(long atMillis) {
    return mergeWith(new CrashEvidence(ImmutableMap.of(), atMillis));
  }

  CrashEvidence mergeWith(CrashEvidence other) {
    ImmutableList<CrashRecord> all =
        ImmutableList.<CrashRecord>builder()
            .addAll(crashes.values())
            .addAll(other.crashes.values())
            .build();
    return of(all, Math.max(completedAtMillis, other.completedAtMillis));
  }

  /** Returns this evidence with all times moved, for example to make them relative to now. */
  public CrashEvidence shiftBy(long millis) {
    return new CrashEvidence(
        crashes.values().stream()
            .map(c -> c.shiftBy(millis))
            .collect(toImmutableMap(CrashRecord::crashId, Function.identity())),
        completedAtMillis == NEVER ? NEVER : completedAtMillis + millis);
  }

  /** Returns the crashes that happened after a time. */
  ImmutableList<CrashRecord> crashesAfter(long millis) {
    return crashes.values().stream().filter(c -> c.atMillis() > millis).collect(toImmutableList());
  }

  /** Returns the time of the latest event, in milliseconds. */
  long lastEventMillis() {
    long lastCrash = crashes.values().stream().mapToLong(CrashRecord::atMillis).max().orElse(NEVER);
    return Math.max(lastCrash, completedAtMillis);
  }
}
