package org.tanagerbank.losses;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Guards against an account that grows with the length of the logs. */
final class LossAccountTest {
  private static final int DAYS = 3;
  private static final int SECONDS_PER_DAY = 86_400;
  private static final int MAX_INTERVALS = 3_600;

  @Test
  void longLogsAreSummedUpInLongerIntervals() {
    LossAccount account = new LossAccount();
    int seconds = DAYS * SECONDS_PER_DAY;
    for (int i = 0; i < seconds; i++) {
      account.add(
          new EndedRequest(
              Instant.ofEpochSecond(i), "route " + i, Outcome.FAILED, Cause.TIME_LIMIT));
    }
    assertThat(account.byStartSecond().size()).isAtMost(MAX_INTERVALS);
    assertThat(account.intervalSeconds()).isEqualTo(128);
    assertThat(account.byStartSecond().values().stream().mapToLong(LossCounts::lost).sum())
        .isEqualTo(seconds);
    assertThat(account.byRoute().size()).isLessThan(1_000);
    assertThat(account.byRoute().values().stream().mapToLong(LossCounts::lost).sum())
        .isEqualTo(seconds);
  }
}
