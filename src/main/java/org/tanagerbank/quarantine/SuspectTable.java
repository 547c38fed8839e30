package org.tanagerbank.quarantine;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.SetMultimap;
import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import org.tanagerbank.request.Fingerprint;

/**
 * The evidence on all suspects, with an index by crash and their ranks.
 *
 * <p>At most {@link #MAX_SUSPECTS} suspects are kept. A suspect with evidence is in the index for
 * exactly the crashes of its evidence, and has one rank, which is computed only when its evidence
 * changes: one crash may add hundreds of suspects to a full table. Not thread-safe.
 */
final class SuspectTable {
  static final int MAX_SUSPECTS = 10_000;

  private final Map<Fingerprint, CrashEvidence> evidence = new HashMap<>();
  private final SetMultimap<String, Fingerprint> byCrash = HashMultimap.create();
  private final Map<Fingerprint, Rank> rankBySuspect = new HashMap<>();

  /** The ranks of all suspects; the first one makes room for another. */
  private final NavigableSet<Rank> ranks = new TreeSet<>();

  private long lastNumber;

  /**
   * The place of a suspect among the others.
   *
   * @param number differs for each rank, so that no two are equal
   */
  private record Rank(int countedCrashes, long lastCrashMillis, long number, Fingerprint suspect)
      implements Comparable<Rank> {
    private static final Comparator<Rank> FEWEST_AND_OLDEST_FIRST =
        Comparator.comparingInt(Rank::countedCrashes)
            .thenComparingLong(Rank::lastCrashMillis)
            .thenComparingLong(Rank::number);

    @Override
    public int compareTo(Rank other) {
      return FEWEST_AND_OLDEST_FIRST.compare(this, other);
    }
  }

  /** Returns what is known of a suspect, which is nothing for one that is not in the table. */
  CrashEvidence get(Fingerprint suspect) {
    return evidence.getOrDefault(suspect, CrashEvidence.NONE);
  }

  boolean contains(Fingerprint suspect) {
    return evidence.containsKey(suspect);
  }

  /** Returns the suspects that were in flight at a crash. */
  Set<Fingerprint> inFlightAt(String crashId) {
    return Collections.unmodifiableSet(byCrash.get(crashId));
  }

  Set<Fingerprint> suspects() {
    return Collections.unmodifiableSet(evidence.keySet());
  }

  Collection<Map.Entry<Fingerprint, CrashEvidence>> entries() {
    return Collections.unmodifiableCollection(evidence.entrySet());
  }

  int size() {
    return evidence.size();
  }

  /**
   * Replaces what is known of a suspect. If the table is full, the suspect with the fewest crashes
   * that counted when their evidence last changed makes room, of those the one whose last crash is
   * the oldest.
   *
   * @param countedCrashes returns the number of crashes that count against a suspect
   */
  void put(Fingerprint suspect, CrashEvidence updated, ToIntFunction<Fingerprint> countedCrashes) {
    if (evidence.size() >= MAX_SUSPECTS && !evidence.containsKey(suspect)) {
      remove(ranks.first().suspect());
    }
    ImmutableSet<String> before = get(suspect).crashes().keySet();
    ImmutableSet<String> after = updated.crashes().keySet();
    Sets.difference(before, after).forEach(c -> byCrash.remove(c, suspect));
    Sets.difference(after, before).forEach(c -> byCrash.put(c, suspect));
    evidence.put(suspect, updated);
    removeRank(suspect);
    Rank rank =
        new Rank(
            countedCrashes.applyAsInt(suspect), updated.lastCrashMillis(), ++lastNumber, suspect);
    rankBySuspect.put(suspect, rank);
    ranks.add(rank);
  }

  private void removeRank(Fingerprint suspect) {
    Rank rank = rankBySuspect.remove(suspect);
    if (rank != null) {
      ranks.remove(rank);
    }
  }

  /** Removes a suspect, and returns what was known of it. */
  CrashEvidence remove(Fingerprint suspect) {
    CrashEvidence removed = evidence.remove(suspect);
    if (removed == null) {
      return CrashEvidence.NONE;
    }
    removeRank(suspect);
    removed.crashes().keySet().forEach(c -> byCrash.remove(c, suspect));
    return removed;
  }

  /** Removes the suspects whose last crash was before a time in milliseconds. */
  void removeOlderThan(long millis) {
    evidence.entrySet().stream()
        .filter(e -> e.getValue().lastCrashMillis() < millis)
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet())
        .forEach(this::remove);
  }
}
