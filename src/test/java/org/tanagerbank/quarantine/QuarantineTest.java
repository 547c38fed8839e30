package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.Fingerprint;

/**
 * Guards against requests that crash engines again and again, and against the refusal of requests
 * that were only in flight at the crashes that others caused.
 */
final class QuarantineTest {
  private static final long HOUR_MILLIS = 3_600_000;

  private final Quarantine quarantine = new Quarantine();
  private int crashes;

  private static Fingerprint fingerprint(long value) {
    return new Fingerprint(value);
  }

  private void crash(long now, long... inFlight) {
    ImmutableSet<Fingerprint> fingerprints =
        Arrays.stream(inFlight)
            .mapToObj(QuarantineTest::fingerprint)
            .collect(ImmutableSet.toImmutableSet());
    quarantine.recordCrash(new CrashReport("crash-" + ++crashes, fingerprints, now), now);
  }

  private QuarantineStatus status(long value, long now) {
    return quarantine.status(fingerprint(value), now);
  }

  @Test
  void soloCrashAfterSharedCrashQuarantines() {
    crash(0, 1, 2, 3);
    assertThat(status(1, 0)).isEqualTo(QuarantineStatus.SUSPECT);
    crash(10, 1);
    assertThat(status(1, 10)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(2, 10)).isEqualTo(QuarantineStatus.SUSPECT);
    quarantine.recordCompletion(fingerprint(2), 10);
    assertThat(status(2, 10)).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void twoSharedCrashesDoNotQuarantine() {
    // 9 is in flight at the crashes that requests 1 and 2 cause.
    crash(0, 1, 9);
    crash(10, 2, 9);
    assertThat(status(9, 10)).isEqualTo(QuarantineStatus.SUSPECT);
    quarantine.recordCompletion(fingerprint(9), 10);
    crash(20, 1);
    crash(30, 2);
    assertThat(status(1, 30)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(2, 30)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(9, 30)).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void firstSoloCrashOnlyMakesASuspect() {
    crash(0, 1);
    assertThat(status(1, 0)).isEqualTo(QuarantineStatus.SUSPECT);
    crash(5, 1, 2);
    assertThat(status(1, 5)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(2, 5)).isEqualTo(QuarantineStatus.SUSPECT);
  }

  @Test
  void repeatedReportCountsOnce() {
    CrashReport report = new CrashReport("same", ImmutableSet.of(fingerprint(1)), 0);
    assertThat(quarantine.recordCrash(report, 0)).isEmpty();
    assertThat(quarantine.recordCrash(report, 1)).isEmpty();
    assertThat(status(1, 1)).isEqualTo(QuarantineStatus.SUSPECT);
  }

  @Test
  void quarantineExpiresAfterAnHour() {
    crash(0, 1);
    crash(100, 1);
    assertThat(status(1, 100 + HOUR_MILLIS - 1)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(1, 100 + HOUR_MILLIS)).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(quarantine.activeRecords(100 + HOUR_MILLIS)).isEmpty();
  }

  @Test
  void mergeReportsNewRecordsOnceAndLimitsTheExpiry() {
    QuarantineRecord received = new QuarantineRecord(fingerprint(1), 10 * HOUR_MILLIS);
    assertThat(quarantine.merge(received, 0)).isTrue();
    assertThat(quarantine.merge(received, 0)).isFalse();
    assertThat(quarantine.expiryMillis(fingerprint(1), 0)).hasValue(HOUR_MILLIS);
    assertThat(quarantine.merge(new QuarantineRecord(fingerprint(2), 0), 5)).isFalse();
    assertThat(status(2, 5)).isEqualTo(QuarantineStatus.CLEAR);
  }
}
