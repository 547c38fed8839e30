package org.tanagerbank.quarantine;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.tanagerbank.request.Fingerprint;

/**
 * Selects the suspects whose evidence goes into the next message to the other instances.
 *
 * <p>Each change is sent several times, because a message can be lost. All suspects are repeated in
 * turn, so that an instance that was absent learns of them, and the others learn what it knows;
 * those with several crashes more often, and first. The number of suspects in a message is bounded.
 * Not thread-safe; confined to one thread.
 */
public final class SuspectNews {
  private static final int MESSAGES_PER_CHANGE = 3;

  /** Bounds the bytes of the changes in a message: those of the suspects' fingerprints. */
  private static final int MAX_CHANGES_PER_MESSAGE = 400;

  /** Bounds the bytes of the changes in a message: those of the crashes that suspects share. */
  private static final int MAX_CRASHES_PER_MESSAGE = 100;

  /** The ids of so many lost runs take the bytes of a crash. */
  private static final int RUNS_OF_A_CRASH = 16;

  private static final int REPEATED_PER_MESSAGE = 100;
  private static final int REPEATED_CRASHES_PER_MESSAGE = 30;
  private static final long REPEAT_INTERVAL_MILLIS = 250;

  /** The oldest changes are dropped beyond this number. */
  private static final int MAX_PENDING = SuspectTable.MAX_SUSPECTS;

  /** The number of messages that contained each change, in the order of the changes. */
  private final Map<Fingerprint, Integer> sentCounts = new LinkedHashMap<>();

  private int nextOfSeveralCrashes;
  private int nextOfAll;
  private long repeatedAtMillis = Long.MIN_VALUE / 2;

  /** Adds a suspect whose evidence has changed. */
  public void add(Fingerprint fingerprint) {
    sentCounts.remove(fingerprint);
    sentCounts.put(fingerprint, 0);
    if (sentCounts.size() > MAX_PENDING) {
      sentCounts.remove(sentCounts.keySet().iterator().next());
    }
  }

  /** Returns whether a change has not been in a message yet. */
  public boolean hasUnsent() {
    return sentCounts.containsValue(0);
  }

  /** Returns the suspects for the next message, and counts their changes as sent. */
  public ImmutableSet<Fingerprint> nextBatch(Quarantine quarantine, long nowMillis) {
    ImmutableSet.Builder<Fingerprint> batch = ImmutableSet.builder();
    batch.addAll(nextChanges(quarantine));
    if (nowMillis - repeatedAtMillis >= REPEAT_INTERVAL_MILLIS) {
      repeatedAtMillis = nowMillis;
      ImmutableList<Fingerprint> several =
          inTurn(quarantine, quarantine.suspects(2, nowMillis), nextOfSeveralCrashes);
      ImmutableList<Fingerprint> any =
          inTurn(quarantine, quarantine.suspects(1, nowMillis), nextOfAll);
      nextOfSeveralCrashes += several.size();
      nextOfAll += any.size();
      batch.addAll(several).addAll(any);
    }
    return batch.build();
  }

  private ImmutableList<Fingerprint> nextChanges(Quarantine quarantine) {
    Stream<Fingerprint> pending =
        sentCounts.entrySet().stream()
            .sorted(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .sorted(Comparator.comparing(f -> !quarantine.hasSeveralCrashes(f)));
    ImmutableList<Fingerprint> changed =
        fitting(quarantine, pending, MAX_CHANGES_PER_MESSAGE, MAX_CRASHES_PER_MESSAGE);
    changed.forEach(f -> sentCounts.merge(f, 1, Integer::sum));
    sentCounts.values().removeIf(n -> n >= MESSAGES_PER_CHANGE);
    return changed;
  }

  /**
   * Returns the first of some suspects, with a bounded number of different crashes in all, but at
   * least one.
   */
  private static ImmutableList<Fingerprint> fitting(
      Quarantine quarantine, Stream<Fingerprint> suspects, int maxSuspects, int maxCrashes) {
    Set<CrashEvidence> told = Sets.newIdentityHashSet();
    int[] crashes = {0};
    return suspects
        .limit(maxSuspects)
        .takeWhile(
            f -> {
              CrashEvidence evidence = quarantine.evidence(f).orElse(CrashEvidence.NONE);
              crashes[0] += told.add(evidence) ? weight(evidence) : 0;
              return crashes[0] <= maxCrashes || told.size() == 1;
            })
        .collect(toImmutableList());
  }

  /** Returns the number of crashes whose bytes some evidence takes. */
  private static int weight(CrashEvidence evidence) {
    return evidence.crashes().values().stream()
        .mapToInt(c -> 1 + c.runs().size() / RUNS_OF_A_CRASH)
        .sum();
  }

  private static ImmutableList<Fingerprint> inTurn(
      Quarantine quarantine, ImmutableList<Fingerprint> suspects, int firstIndex) {
    Stream<Fingerprint> fromFirst =
        IntStream.range(0, suspects.size())
            .mapToObj(i -> suspects.get(Math.floorMod(firstIndex + i, suspects.size())));
    return fitting(quarantine, fromFirst, REPEATED_PER_MESSAGE, REPEATED_CRASHES_PER_MESSAGE);
  }
}
