package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.Fingerprint;

/**
 * Guards against a part of prompts that crashes upstreams and is not restricted, or is forgotten,
 * because it always comes with another one; and against blame on parts that sound requests share.
 */
final class BlameTest {
  private static final RunConditions V1 = new RunConditions(1, 0);
  private static final Fingerprint FIRST = Fingerprint.ofPromptPart(1);
  private static final Fingerprint DEADLY = Fingerprint.ofPromptPart(2);
  private static final Fingerprint OTHER = Fingerprint.ofPromptPart(3);
  private static final Fingerprint SOUND = Fingerprint.ofPromptPart(4);

  private final Quarantine quarantine = new Quarantine(QuarantineRule.SHARED_ACCESS);

  private int lastRun;

  /** Records the crash of an upstream under one run. */
  private void crash(String id, long now, Fingerprint onTrial, Fingerprint... parts) {
    lastRun++;
    for (Fingerprint part : parts) {
      int depth = quarantine.depth(part, now - 1) + 1;
      CrashRecord record =
          new CrashRecord(id, depth, part.equals(onTrial), now, V1)
              .withRuns(ImmutableSet.of(lastRun));
      quarantine.recordLostRun(ImmutableSet.of(part), record, now);
    }
  }

  private void complete(Fingerprint part, long now) {
    for (int i = 0; i < SharedAccessRule.FORGIVING_COMPLETIONS; i++) {
      quarantine.recordCompletion(ImmutableSet.of(part), () -> V1, now);
    }
  }

  /** Returns how a request may run that has the given parts, because of the worst of them. */
  private QuarantineStatus worst(long now, Fingerprint... parts) {
    ImmutableSet<Fingerprint> all = ImmutableSet.copyOf(parts);
    return Arrays.stream(parts)
        .map(p -> quarantine.status(p, all, now))
        .max(QuarantineStatus::compareTo)
        .orElseThrow();
  }

  private void crashWithBoth() {
    crash("a", 1_000, null, FIRST, DEADLY);
    crash("b", 2_000, null, FIRST, DEADLY);
    crash("c", 3_000, DEADLY, FIRST, DEADLY);
    crash("d", 4_000, DEADLY, FIRST, DEADLY);
  }

  @Test
  void requestsWithOneOfTwoPartsThatCrashTogetherRunFreely() {
    crashWithBoth();
    assertThat(worst(4_500, FIRST, DEADLY)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(worst(4_500, FIRST)).isLessThan(QuarantineStatus.TRIAL_ONLY);
    assertThat(worst(4_500, FIRST, SOUND)).isLessThan(QuarantineStatus.TRIAL_ONLY);
  }

  /** What is restricted only together with another part must be kept and told like the rest. */
  @Test
  void partsThatCrashOnlyTogetherAreRestrictedAndExpire() {
    crashWithBoth();
    assertThat(quarantine.restricted(4_500)).contains(DEADLY);
    assertThat(quarantine.expiryMillis(DEADLY, ImmutableSet.of(FIRST, DEADLY), 4_500))
        .hasValue(4_000 + Quarantine.SUSPICION_MILLIS);
  }

  @Test
  void partThatCrashesWithoutTheOtherIsBlamedAlone() {
    crashWithBoth();
    crash("e", 5_000, null, OTHER, DEADLY);
    assertThat(worst(5_500, SOUND, DEADLY)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(worst(5_500, FIRST)).isLessThan(QuarantineStatus.TRIAL_ONLY);
  }

  /** A sound part that is new and was in flight at two crashes of the deadly one. */
  @Test
  void soundPartOfOtherRunsIsClearedByCompletionsOrByTheCondemned() {
    crash("a", 1_000, null, DEADLY);
    crash("a", 1_000, null, SOUND);
    crash("b", 2_000, null, DEADLY);
    crash("b", 2_000, null, SOUND);
    assertThat(worst(2_500, SOUND)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    assertThat(worst(2_500, DEADLY)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    crash("c", 3_000, DEADLY, DEADLY);
    crash("d", 4_000, DEADLY, DEADLY);
    assertThat(worst(4_500, DEADLY)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(worst(4_500, SOUND)).isLessThan(QuarantineStatus.TRIAL_ONLY);
    complete(SOUND, 4_600);
    assertThat(worst(4_600, SOUND)).isEqualTo(QuarantineStatus.CLEAR);
  }

  /** Two deadly parts give their common first part the most crashes; completed runs clear it. */
  @Test
  void firstPartOfTwoDeadlyOnesIsClearedByCompletions() {
    crash("a", 1_000, null, FIRST, DEADLY);
    crash("b", 2_000, null, FIRST, OTHER);
    crash("c", 3_000, null, FIRST, DEADLY);
    crash("d", 4_000, null, FIRST, OTHER);
    complete(FIRST, 4_100);
    assertThat(worst(4_500, FIRST)).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(worst(4_500, FIRST, DEADLY)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    assertThat(worst(4_500, FIRST, OTHER)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }

  /** Crashes of a whole request leave its parts free for others. */
  @Test
  void partsOfADeadlyRequestAreNotBlamed() {
    Fingerprint request = new Fingerprint(7);
    for (int i = 0; i < 4; i++) {
      crash("c" + i, 1_000 * i, null, FIRST, OTHER);
      CrashRecord record =
          new CrashRecord("c" + i, i + 1, false, 1_000 * i, V1).withRuns(ImmutableSet.of(lastRun));
      quarantine.recordLostRun(ImmutableSet.of(request), record, 1_000 * i);
    }
    assertThat(worst(3_500, FIRST, OTHER)).isLessThan(QuarantineStatus.TRIAL_ONLY);
    assertThat(worst(3_500, request, FIRST, OTHER)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }
}
