package org.tanagerbank.quarantine;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import com.google.common.collect.SetMultimap;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import java.util.function.UnaryOperator;
import org.tanagerbank.request.Fingerprint;

/**
 * The evidence on all suspects, in groups of equal evidence, with an index by crash.
 *
 * <p>At most {@link #MAX_SUSPECTS} suspects are kept. Each suspect is in exactly one group, no two
 * groups have equal evidence, and no group is empty. A group is in the index for exactly the
 * crashes of its evidence, and is ranked once: one crash may add thousands of suspects. Not
 * thread-safe.
 */
final class SuspectTable {
  static final int MAX_SUSPECTS = 10_000;

  /** Stand for the evidence on suspects that are not in the table; they have no members. */
  private static final SuspectGroup NEW_PARTS =
      new SuspectGroup(CrashEvidence.NONE, /* hasPromptParts= */ true, 0, 0);

  private static final SuspectGroup NEW_REQUESTS =
      new SuspectGroup(CrashEvidence.NONE, /* hasPromptParts= */ false, 0, 0);

  private final Map<Fingerprint, SuspectGroup> groupBySuspect = new HashMap<>();
  private final Map<GroupKey, SuspectGroup> groups = new HashMap<>();
  private final SetMultimap<String, SuspectGroup> byCrash = HashMultimap.create();

  /** All groups; the first one makes room for another suspect. */
  private final NavigableSet<SuspectGroup> ranks =
      new TreeSet<>(SuspectGroup.FEWEST_AND_OLDEST_FIRST);

  private long lastNumber;

  private record GroupKey(CrashEvidence evidence, boolean hasPromptParts) {}

  /** Returns what is known of a suspect, which is nothing for one that is not in the table. */
  CrashEvidence get(Fingerprint suspect) {
    return group(suspect).map(SuspectGroup::evidence).orElse(CrashEvidence.NONE);
  }

  boolean contains(Fingerprint suspect) {
    return groupBySuspect.containsKey(suspect);
  }

  Optional<SuspectGroup> group(Fingerprint suspect) {
    return Optional.ofNullable(groupBySuspect.get(suspect));
  }

  /** Returns the groups of some suspects, with those of the suspects that are in the table. */
  ImmutableListMultimap<SuspectGroup, Fingerprint> groupsOf(Collection<Fingerprint> suspects) {
    if (groupBySuspect.isEmpty()) {
      return ImmutableListMultimap.of();
    }
    return suspects.stream()
        .filter(groupBySuspect::containsKey)
        .collect(
            ImmutableListMultimap.toImmutableListMultimap(groupBySuspect::get, suspect -> suspect));
  }

  /** Returns the groups whose members were in flight at a crash. */
  Set<SuspectGroup> inFlightAt(String crashId) {
    return Collections.unmodifiableSet(byCrash.get(crashId));
  }

  Collection<SuspectGroup> groups() {
    return Collections.unmodifiableCollection(groups.values());
  }

  int size() {
    return groupBySuspect.size();
  }

  /**
   * Changes what is known of some suspects, and returns those for which that made a difference. If
   * the table is full, a suspect with the fewest crashes that counted when its evidence last
   * changed makes room for a new one, of those one whose last crash is the oldest.
   *
   * @param change returns the new evidence for an earlier one, which is empty for new suspects;
   *     called once for each group
   * @param countedCrashes returns the number of crashes in some evidence that count now
   */
  ImmutableList<Fingerprint> update(
      Collection<Fingerprint> suspects,
      UnaryOperator<CrashEvidence> change,
      ToIntFunction<CrashEvidence> countedCrashes) {
    ImmutableListMultimap<SuspectGroup, Fingerprint> byGroup =
        Multimaps.index(suspects, s -> groupBySuspect.getOrDefault(s, groupOfNew(s)));
    ImmutableList.Builder<Fingerprint> changed = ImmutableList.builder();
    for (SuspectGroup before : byGroup.keySet()) {
      CrashEvidence after = change.apply(before.evidence());
      if (!after.equals(before.evidence())) {
        GroupKey key = new GroupKey(after, before.hasPromptParts());
        put(byGroup.get(before), key, countedCrashes.applyAsInt(after));
        changed.addAll(byGroup.get(before));
      }
    }
    return changed.build();
  }

  private static SuspectGroup groupOfNew(Fingerprint suspect) {
    return suspect.isPromptPart() ? NEW_PARTS : NEW_REQUESTS;
  }

  private void put(ImmutableList<Fingerprint> suspects, GroupKey key, int countedCrashes) {
    SuspectGroup group = NEW_PARTS;
    for (Fingerprint suspect : suspects) {
      makeRoomFor(suspect);
      remove(suspect);
      if (group.size() == 0) {
        // There is none yet, or its members had to make room.
        group = groups.computeIfAbsent(key, k -> addGroup(k, countedCrashes));
      }
      group.add(suspect);
      groupBySuspect.put(suspect, group);
    }
  }

  private void makeRoomFor(Fingerprint suspect) {
    if (groupBySuspect.size() >= MAX_SUSPECTS && !groupBySuspect.containsKey(suspect)) {
      remove(ranks.first().members().iterator().next());
    }
  }

  private SuspectGroup addGroup(GroupKey key, int countedCrashes) {
    CrashEvidence evidence = key.evidence();
    SuspectGroup group =
        new SuspectGroup(evidence, key.hasPromptParts(), countedCrashes, ++lastNumber);
    evidence.crashes().keySet().forEach(c -> byCrash.put(c, group));
    ranks.add(group);
    return group;
  }

  /** Removes a suspect, and returns what was known of it. */
  CrashEvidence remove(Fingerprint suspect) {
    SuspectGroup group = groupBySuspect.remove(suspect);
    if (group == null) {
      return CrashEvidence.NONE;
    }
    group.remove(suspect);
    if (group.size() == 0) {
      groups.remove(new GroupKey(group.evidence(), group.hasPromptParts()));
      ranks.remove(group);
      group.evidence().crashes().keySet().forEach(c -> byCrash.remove(c, group));
    }
    return group.evidence();
  }

  /** Removes the suspects whose last crash was before a time in milliseconds. */
  void removeOlderThan(long millis) {
    ImmutableList<Fingerprint> old =
        groups.values().stream()
            .filter(g -> g.evidence().lastCrashMillis() < millis)
            .flatMap(g -> g.members().stream())
            .collect(toImmutableList());
    old.forEach(this::remove);
  }
}
