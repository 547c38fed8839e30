package org.tanagerbank.quarantine;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.IntStream;
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
  private static final int MAX_CHANGES_PER_MESSAGE = 40;

  /** Bounds the bytes of the changes in a message, which the number of crashes decides. */
  private static final int MAX_CRASHES_PER_MESSAGE = 100;

  private static final int REPEATED_PER_MESSAGE = 4;
  private static final long REPEAT_INTERVAL_MILLIS = 250;

  /** The oldest changes are dropped beyond this number. */
  private static final int MAX_PENDING = 4_000;

  /** The number of messages that contained each change, in the order of the changes. */
  private final Map<Fingerprint, Integer> sentCounts = new LinkedHashMap<>();

  private int nextRepeated;
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
      batch.addAll(inTurn(quarantine.suspects(2, nowMillis), nextRepeated));
      batch.addAll(inTurn(quarantine.suspects(1, nowMillis), nextRepeated));
      nextRepeated += REPEATED_PER_MESSAGE;
    }
    return batch.build();
  }

  private ImmutableList<Fingerprint> nextChanges(Quarantine quarantine) {
    int[] crashes = {0};
    ImmutableList<Fingerprint> changed =
        sentCounts.entrySet().stream()
            .sorted(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .sorted(Comparator.comparing(f -> !quarantine.hasSeveralCrashes(f)))
            .limit(MAX_CHANGES_PER_MESSAGE)
            .takeWhile(f -> (crashes[0] += quarantine.crashCount(f)) <= MAX_CRASHES_PER_MESSAGE)
            .collect(toImmutableList());
    changed.forEach(f -> sentCounts.merge(f, 1, Integer::sum));
    sentCounts.values().removeIf(n -> n >= MESSAGES_PER_CHANGE);
    return changed;
  }

  private static ImmutableList<Fingerprint> inTurn(
      ImmutableList<Fingerprint> suspects, int firstIndex) {
    return IntStream.range(0, Math.min(REPEATED_PER_MESSAGE, suspects.size()))
        .mapToObj(i -> suspects.get(Math.floorMod(firstIndex + i, suspects.size())))
        .collect(toImmutableList());
  }
}
