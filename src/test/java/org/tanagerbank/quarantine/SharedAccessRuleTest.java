package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.Fingerprint;

/**
 * Guards against a request that crashes shared upstreams without end, and against the refusal of
 * requests that were in flight at crashes which others caused.
 */
final class SharedAccessRuleTest {
  private static final int ENOUGH = SharedAccessRule.FORGIVING_COMPLETIONS;
  private static final RunConditions V1 = new RunConditions(1, 7);
  private static final RunConditions V2 = new RunConditions(2, 7);
  private static final RunConditions OTHER_PROMPT = new RunConditions(1, 8);
  private static final ImmutableSet<Fingerprint> ONE = ImmutableSet.of(fingerprint(1));

  private final Quarantine quarantine = new Quarantine(QuarantineRule.SHARED_ACCESS);

  private static Fingerprint fingerprint(long value) {
    return new Fingerprint(value);
  }

  private void crash(String id, boolean isTrial, long now, long... inFlight) {
    for (long value : inFlight) {
      int depth = quarantine.depth(fingerprint(value), now - 1) + 1;
      CrashRecord record = new CrashRecord(id, depth, isTrial, now, V1);
      quarantine.recordLostRun(ImmutableSet.of(fingerprint(value)), record, now);
    }
  }

  /** Completes runs of fingerprint 1. */
  private void complete(int runs, RunConditions conditions, long now) {
    for (int i = 0; i < runs; i++) {
      quarantine.recordCompletion(ONE, () -> conditions, now);
    }
  }

  private void crashThreeTimes() {
    crash("a", false, 10, 1);
    crash("b", false, 20, 1);
    crash("c", false, 30, 1);
  }

  private QuarantineStatus status(long value, long now) {
    return quarantine.status(fingerprint(value), now);
  }

  @Test
  void crashesInARowRestrictAndOneUnderTrialQuarantines() {
    crash("a", false, 1_000, 1, 2);
    assertThat(status(1, 1_000)).isEqualTo(QuarantineStatus.SUSPECT);
    crash("b", false, 2_000, 1, 3);
    assertThat(status(1, 2_000)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    crash("c", false, 3_000, 1, 4);
    crash("d", true, 4_000, 1);
    assertThat(status(1, 4_000)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    long reported = 4_000 + SharedAccessRule.REPORT_MILLIS;
    assertThat(status(1, reported)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(quarantine.expiryMillis(fingerprint(1), reported))
        .hasValue(4_000 + Quarantine.SUSPICION_MILLIS);
    assertThat(status(2, reported)).isEqualTo(QuarantineStatus.SUSPECT);
  }

  @Test
  void secondCrashUnderTrialQuarantinesAtOnce() {
    crash("a", false, 1_000, 1);
    crash("b", false, 2_000, 1);
    crash("c", true, 3_000, 1);
    assertThat(status(1, 3_900)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    crash("d", true, 4_000, 1);
    assertThat(status(1, 4_000)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void crashesAtTheSameMomentCountAsOneStep() {
    Fingerprint hot = fingerprint(1);
    for (int upstream = 0; upstream < 6; upstream++) {
      quarantine.recordLostRun(
          ImmutableSet.of(hot), new CrashRecord("rack" + upstream, 1, false, 10, V1), 10);
    }
    crash("trial", true, 1_000, 1);
    assertThat(status(1, 1_900)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }

  /** Guards against requests that are refused because racks end while they run in trials. */
  @Test
  void crashesUnderTrialsBesideThoseOfOtherUpstreamsDoNotQuarantine() {
    crash("a", false, 1_000, 1);
    crash("b", false, 2_000, 1);
    for (int rack = 3; rack < 6; rack++) {
      crash("trial" + rack, true, 1_000 * rack, 1);
      crash("other" + rack, false, 1_000 * rack + 50, 7 + rack);
    }
    assertThat(status(1, 5_900)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }

  /** Guards against two requests that end upstreams at the same time and excuse each other. */
  @Test
  void crashesUnderTrialsOfSeveralRequestsAtTheSameTimeQuarantineThem() {
    for (long value = 1; value <= 2; value++) {
      crash("a" + value, false, 1_000, value);
      crash("b" + value, false, 2_000, value);
      crash("c" + value, true, 3_000, value);
      crash("d" + value, true, 4_000, value);
    }
    assertThat(status(1, 4_000)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(2, 4_000)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  /** Guards against an innocent request whose trials meet those of a deadly one. */
  @Test
  void crashesUnderTrialsOfTwoRequestsAtOneUpstreamQuarantineNeither() {
    crash("a", false, 1_000, 1, 2);
    crash("b", false, 2_000, 1, 2);
    crash("c", true, 3_000, 1, 2);
    crash("d", true, 4_000, 1, 2);
    assertThat(status(1, 4_900)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    crash("e", true, 5_000, 1);
    crash("f", true, 6_000, 1);
    assertThat(status(1, 6_000)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(2, 6_000)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }

  @Test
  void crashUnderTrialThatAnotherSuspectExplainsDoesNotQuarantine() {
    crash("a", false, 1_000, 1, 2);
    crash("b", false, 2_000, 1);
    crash("c", false, 3_000, 1);
    crash("d", true, 4_000, 1);
    quarantine.recordLostRun(
        ImmutableSet.of(fingerprint(2)), new CrashRecord("d", 2, false, 4_000, V1), 4_000);
    assertThat(status(1, 4_900)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    crash("e", true, 5_000, 1);
    assertThat(status(1, 5_000)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void completionsAfterTheCrashesForgiveThem() {
    crashThreeTimes();
    complete(ENOUGH - 1, V1, 40);
    assertThat(status(1, 40)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    complete(1, V1, 41);
    assertThat(status(1, 41)).isEqualTo(QuarantineStatus.CLEAR);
    crash("d", false, 50, 1);
    assertThat(status(1, 50)).isEqualTo(QuarantineStatus.SUSPECT);
  }

  /** Guards against one complete run that makes a request innocent that crashes upstreams. */
  @Test
  void completionsBeforeTheCrashesDoNotForgiveThem() {
    complete(10 * ENOUGH, V1, 5);
    crashThreeTimes();
    assertThat(status(1, 30)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }

  /** Guards against a request that completes between the crashes, so that none of them counts. */
  @Test
  void fewCompletionsBetweenTheCrashesDoNotForgiveThem() {
    crash("a", false, 10, 1);
    complete(ENOUGH - 1, V1, 11);
    crash("b", false, 20, 1);
    assertThat(status(1, 20)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }

  @Test
  void completionsAtOtherSoftwareOrOfAnotherPromptForgiveNothing() {
    crashThreeTimes();
    complete(ENOUGH, V2, 40);
    complete(ENOUGH, OTHER_PROMPT, 40);
    assertThat(status(1, 40)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    assertThat(quarantine.crashedSoftware(fingerprint(1), 40)).containsExactly(1);
  }

  /** Guards against crashes that an instance of an older build reports and nothing forgives. */
  @Test
  void anyCompletionsForgiveCrashesOfUnknownConditions() {
    for (String id : ImmutableList.of("a", "b")) {
      CrashRecord crash = new CrashRecord(id, 1, false, 10, RunConditions.UNKNOWN);
      quarantine.recordLostRun(ONE, crash, 10);
    }
    complete(ENOUGH, V2, 40);
    assertThat(status(1, 40)).isEqualTo(QuarantineStatus.CLEAR);
  }

  /** Guards against requests that are restricted where they are harmless, or free where not. */
  @Test
  void requestIsHarmlessToSoftwareWhereRunsCompletedSinceTheCrashes() {
    complete(ENOUGH, V2, 5);
    crashThreeTimes();
    assertThat(quarantine.areHarmlessTo(2, ONE, 40)).isFalse();
    complete(ENOUGH, V2, 40);
    assertThat(quarantine.areHarmlessTo(2, ONE, 40)).isTrue();
    assertThat(quarantine.areHarmlessTo(1, ONE, 40)).isFalse();
    assertThat(quarantine.areHarmlessTo(3, ONE, 40)).isFalse();
    quarantine.recordLostRun(ONE, new CrashRecord("d", 4, false, 50, V2), 50);
    assertThat(quarantine.areHarmlessTo(2, ONE, 50)).isFalse();
  }

  @Test
  void otherEvidenceThatLacksTheForgivenessIsRecognized() {
    crashThreeTimes();
    CrashEvidence before = quarantine.evidence(fingerprint(1)).get();
    assertThat(quarantine.hasForgiven(fingerprint(1), before, 30)).isFalse();
    complete(ENOUGH, V1, 40);
    assertThat(quarantine.hasForgiven(fingerprint(1), before, 40)).isTrue();
    CrashEvidence after = quarantine.evidence(fingerprint(1)).get();
    assertThat(quarantine.hasForgiven(fingerprint(1), after, 40)).isFalse();
  }

  @Test
  void evidenceMergesInAnyOrderAndRepetition() {
    CrashRecord once =
        new CrashRecord("b", 2, true, 20, RunConditions.UNKNOWN, ImmutableMap.of(1, 1, 2, 3));
    CrashRecord again = new CrashRecord("b", 1, false, 19, V1, ImmutableMap.of(1, 2));
    CrashEvidence first =
        CrashEvidence.of(ImmutableList.of(new CrashRecord("a", 1, false, 10, V2), once));
    CrashEvidence second = CrashEvidence.of(ImmutableList.of(again));
    CrashEvidence merged = first.mergeWith(second);
    assertThat(second.mergeWith(first).crashes()).containsExactlyEntriesIn(merged.crashes());
    assertThat(merged.mergeWith(first).mergeWith(second)).isEqualTo(merged);
    assertThat(merged.crashes().get("b"))
        .isEqualTo(new CrashRecord("b", 2, false, 19, V1, ImmutableMap.of(1, 2, 2, 3)));
  }

  /** Instances repeat all that they know, so that the same evidence is merged again and again. */
  @Test
  void evidenceThatIsMergedAgainLosesNothing() {
    ImmutableList.Builder<CrashRecord> crashes = ImmutableList.builder();
    for (int i = 0; i < 12; i++) {
      crashes.add(new CrashRecord("c" + i, i, false, i, V1));
    }
    CrashEvidence evidence = CrashEvidence.of(crashes.build());
    assertThat(evidence.mergeWith(evidence)).isEqualTo(evidence);
  }

  @Test
  void stateIsBounded() {
    for (int i = 0; i < 10_100; i++) {
      crash("c" + i, false, 10 + i, i);
      crash("again", false, 10 + i, 7);
    }
    assertThat(quarantine.suspectCount()).isEqualTo(10_000);
    assertThat(status(7, 10_200)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    for (int i = 0; i < 100; i++) {
      crash("d" + i, false, 20_000 + i, 8);
    }
    assertThat(quarantine.evidence(fingerprint(8)).get().crashes()).hasSize(12);
  }

  @Test
  void suspicionEndsAfterAnHour() {
    crash("a", false, 10, 1);
    crash("b", false, 20, 1);
    crash("c", false, 30, 1);
    long later = 31 + Quarantine.SUSPICION_MILLIS;
    assertThat(status(1, later)).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(quarantine.restricted(later)).isEmpty();
  }
}
