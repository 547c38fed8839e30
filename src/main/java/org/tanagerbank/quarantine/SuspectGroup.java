package org.tanagerbank.quarantine;

import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagerbank.request.Fingerprint;

/**
 * Suspects with equal evidence: all parts of prompts, or all requests. The parts of a long prompt
 * are mostly in flight together, so that they take one group, however many they are.
 *
 * <p>The evidence and the rank never change; a suspect with other evidence is in another group.
 * Compared by identity. Not thread-safe.
 */
final class SuspectGroup {
  /** Orders groups by the room that they make for others: those that matter least come first. */
  static final Comparator<SuspectGroup> FEWEST_AND_OLDEST_FIRST =
      Comparator.<SuspectGroup>comparingInt(g -> g.countedCrashes)
          .thenComparingLong(g -> g.evidence.lastCrashMillis())
          .thenComparingLong(g -> g.number);

  private final CrashEvidence evidence;
  private final boolean hasPromptParts;
  private final int countedCrashes;
  private final long number;
  private final Set<Fingerprint> members = new LinkedHashSet<>();

  /**
   * Creates a group without members.
   *
   * @param countedCrashes the number of crashes that count against its members now
   * @param number differs from that of all other groups
   */
  SuspectGroup(CrashEvidence evidence, boolean hasPromptParts, int countedCrashes, long number) {
    this.evidence = evidence;
    this.hasPromptParts = hasPromptParts;
    this.countedCrashes = countedCrashes;
    this.number = number;
  }

  CrashEvidence evidence() {
    return evidence;
  }

  /** Returns whether its members are parts of prompts, not whole requests. */
  boolean hasPromptParts() {
    return hasPromptParts;
  }

  Set<Fingerprint> members() {
    return Collections.unmodifiableSet(members);
  }

  int size() {
    return members.size();
  }

  void add(Fingerprint suspect) {
    members.add(suspect);
  }

  void remove(Fingerprint suspect) {
    members.remove(suspect);
  }

  /**
   * Returns whether each run that was lost at a crash with a member of another group also had the
   * members of this one, which are parts of prompts.
   *
   * @param crash the record of the crash in the other group
   */
  boolean wasInAllRunsOf(CrashRecord crash) {
    CrashRecord own = evidence.crashes().get(crash.crashId());
    return hasPromptParts && own != null && crash.isWithin(own);
  }
}
