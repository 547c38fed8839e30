package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.tanagerbank.contract.Fingerprint;

/** Guards against requests that go on crashing engines, and against innocent ones being refused. */
final class QuarantineTest {
  private static final long HOUR = 3_600_000;

  private final Quarantine quarantine = new Quarantine();
  private int crashes;

  private static Fingerprint print(long value) {
    return new Fingerprint(value);
  }

  private void crash(long now, long... inFlight) {
    ImmutableSet<Fingerprint> prints =
        Arrays.stream(inFlight)
            .mapToObj(QuarantineTest::print)
            .collect(ImmutableSet.toImmutableSet());
    quarantine.crashed(new CrashReport("crash-" + ++crashes, prints, now), now);
  }

  private Standing standing(long value, long now) {
    return quarantine.standing(print(value), now);
  }

  @Test
  void crashAloneAfterCrashInCompanyCondemns() {
    crash(0, 1, 2, 3);
    assertThat(standing(1, 0)).isEqualTo(Standing.SUSPECT);
    crash(10, 1);
    assertThat(standing(1, 10)).isEqualTo(Standing.QUARANTINED);
    assertThat(standing(2, 10)).isEqualTo(Standing.SUSPECT);
    quarantine.survived(print(2));
    assertThat(standing(2, 10)).isEqualTo(Standing.CLEAR);
  }

  @Test
  void companyAtTwoCrashesDoesNotCondemn() {
    // 9 is the neighbour of two different requests that crash engines.
    crash(0, 1, 9);
    crash(10, 2, 9);
    assertThat(standing(9, 10)).isEqualTo(Standing.SUSPECT);
    quarantine.survived(print(9));
    crash(20, 1);
    crash(30, 2);
    assertThat(standing(1, 30)).isEqualTo(Standing.QUARANTINED);
    assertThat(standing(2, 30)).isEqualTo(Standing.QUARANTINED);
    assertThat(standing(9, 30)).isEqualTo(Standing.CLEAR);
  }

  @Test
  void oneCrashAloneDoesNotCondemn() {
    crash(0, 1);
    assertThat(standing(1, 0)).isEqualTo(Standing.SUSPECT);
    crash(5, 1, 2);
    assertThat(standing(1, 5)).isEqualTo(Standing.QUARANTINED);
    assertThat(standing(2, 5)).isEqualTo(Standing.SUSPECT);
  }

  @Test
  void repeatedReportCountsOnce() {
    CrashReport report = new CrashReport("same", ImmutableSet.of(print(1)), 0);
    assertThat(quarantine.crashed(report, 0)).isEmpty();
    assertThat(quarantine.crashed(report, 1)).isEmpty();
    assertThat(standing(1, 1)).isEqualTo(Standing.SUSPECT);
  }

  @Test
  void condemnationExpiresAfterAnHour() {
    crash(0, 1);
    crash(100, 1);
    assertThat(standing(1, 100 + HOUR - 1)).isEqualTo(Standing.QUARANTINED);
    assertThat(standing(1, 100 + HOUR)).isEqualTo(Standing.CLEAR);
    assertThat(quarantine.inForce(100 + HOUR)).isEmpty();
  }

  @Test
  void mergeTakesNewsOnceAndBoundsTheExpiry() {
    Condemnation heard = new Condemnation(print(1), 10 * HOUR);
    assertThat(quarantine.merge(heard, 0)).isTrue();
    assertThat(quarantine.merge(heard, 0)).isFalse();
    assertThat(quarantine.quarantinedUntil(print(1), 0)).hasValue(HOUR);
    assertThat(quarantine.merge(new Condemnation(print(2), 0), 5)).isFalse();
    assertThat(standing(2, 5)).isEqualTo(Standing.CLEAR);
  }
}
