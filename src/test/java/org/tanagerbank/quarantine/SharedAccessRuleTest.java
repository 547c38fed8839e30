package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.Fingerprint;

/**
 * Guards against a request that crashes shared upstreams without end, and against the refusal of
 * requests that were in flight at crashes which others caused.
 */
final class SharedAccessRuleTest {
  private static final long MINUTE_MILLIS = 60_000;

  private final Quarantine quarantine = new Quarantine(QuarantineRule.SHARED_ACCESS);

  private static Fingerprint fingerprint(long value) {
    return new Fingerprint(value);
  }

  private void crash(String id, boolean isTrial, long now, long... inFlight) {
    for (long value : inFlight) {
      int depth = quarantine.depth(fingerprint(value), now - 1) + 1;
      quarantine.recordLostRun(fingerprint(value), new CrashRecord(id, depth, isTrial, now), now);
    }
  }

  private QuarantineStatus status(long value, long now) {
    return quarantine.status(fingerprint(value), now);
  }

  @Test
  void fourthCrashInARowUnderTrialQuarantines() {
    crash("a", false, 10, 1, 2);
    crash("b", false, 20, 1, 3);
    assertThat(status(1, 20)).isEqualTo(QuarantineStatus.SUSPECT);
    crash("c", false, 30, 1, 4);
    assertThat(status(1, 30)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    crash("d", true, 40, 1);
    assertThat(status(1, 40)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(quarantine.expiryMillis(fingerprint(1), 40))
        .hasValue(40 + Quarantine.SUSPICION_MILLIS);
    assertThat(status(2, 40)).isEqualTo(QuarantineStatus.SUSPECT);
  }

  @Test
  void crashesAtTheSameMomentCountAsOneStep() {
    Fingerprint hot = fingerprint(1);
    for (int upstream = 0; upstream < 6; upstream++) {
      quarantine.recordLostRun(hot, new CrashRecord("rack" + upstream, 1, false, 10), 10);
    }
    crash("trial", true, 20, 1);
    assertThat(status(1, 20)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
  }

  @Test
  void crashUnderTrialThatAnotherSuspectExplainsDoesNotQuarantine() {
    crash("a", false, 10, 1, 2);
    crash("b", false, 20, 1);
    crash("c", false, 30, 1);
    crash("d", true, 40, 1);
    quarantine.recordLostRun(fingerprint(2), new CrashRecord("d", 2, false, 40), 40);
    assertThat(status(1, 40)).isEqualTo(QuarantineStatus.TRIAL_ONLY);
    crash("e", true, 50, 1);
    assertThat(status(1, 50)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void completionClearsAndProtectsForAMinute() {
    crash("a", false, 10, 1);
    crash("b", false, 20, 1);
    crash("c", false, 30, 1);
    assertThat(quarantine.recordCompletion(fingerprint(1), 40)).isTrue();
    assertThat(status(1, 40)).isEqualTo(QuarantineStatus.CLEAR);
    crash("d", false, 50, 1);
    assertThat(status(1, 50)).isEqualTo(QuarantineStatus.CLEAR);
    crash("e", false, 41 + MINUTE_MILLIS, 1);
    assertThat(status(1, 41 + MINUTE_MILLIS)).isEqualTo(QuarantineStatus.SUSPECT);
  }

  /** A request that many callers send completes all the time. */
  @Test
  void completionBeforeTheFirstCrashProtects() {
    assertThat(quarantine.recordCompletion(fingerprint(1), 5)).isFalse();
    crash("a", false, 10, 1);
    crash("b", false, 20, 1);
    crash("c", false, 30, 1);
    assertThat(status(1, 30)).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void evidenceMergesInAnyOrderAndRepetition() {
    CrashEvidence first =
        CrashEvidence.of(
            ImmutableList.of(new CrashRecord("a", 1, false, 10), new CrashRecord("b", 2, true, 20)),
            CrashEvidence.NEVER);
    CrashEvidence second =
        CrashEvidence.of(ImmutableList.of(new CrashRecord("b", 1, false, 19)), 15);
    CrashEvidence merged = first.mergeWith(second);
    assertThat(second.mergeWith(first).crashes()).containsExactlyEntriesIn(merged.crashes());
    assertThat(merged.mergeWith(first).mergeWith(second)).isEqualTo(merged);
    assertThat(merged.crashes().get("b")).isEqualTo(new CrashRecord("b", 2, false, 19));
    assertThat(merged.completedAtMillis()).isEqualTo(15);
  }

  /** Instances repeat all that they know, so that the same evidence is merged again and again. */
  @Test
  void evidenceThatIsMergedAgainLosesNothing() {
    ImmutableList.Builder<CrashRecord> crashes = ImmutableList.builder();
    for (int i = 0; i < 12; i++) {
      crashes.add(new CrashRecord("c" + i, i, false, i));
    }
    CrashEvidence evidence = CrashEvidence.of(crashes.build(), CrashEvidence.NEVER);
    assertThat(evidence.mergeWith(evidence)).isEqualTo(evidence);
  }

  @Test
  void stateIsBounded() {
    for (int i = 0; i < 10_100; i++) {
      crash("c" + i, false, 10 + i, i);
      crash("again", false, 10 + i, 7);
    }
    assertThat(quarantine.suspectCount()).isEqualTo(10_000);
    assertThat(status(7, 10_200)).isEqualTo(QuarantineStatus.SUSPECT);
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
