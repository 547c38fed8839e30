package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.tanagerbank.upstream.SendLimit;

/** Guards against rates that lose the tokens of requests that were not sent, or never end. */
final class SendRateTest {
  private final SendRate rate = new SendRate(() -> 0.5, new SplittableRandom(1));

  /** Returns the time at which a request may be sent, by a limit of 2 a second of which half. */
  private long limitedUntilRoom() {
    rate.record(new SendLimit(2), 0, 1_000);
    long roomAtMillis = 1_000 + rate.millisUntilRoom(1_000);
    assertThat(rate.millisUntilRoom(roomAtMillis)).isEqualTo(0);
    return roomAtMillis;
  }

  @Test
  void requestThatWasSentTakesTheTokenOfItsShare() {
    long now = limitedUntilRoom();
    rate.take();
    assertThat((double) rate.millisUntilRoom(now)).isWithin(10).of(1_000);
  }

  @Test
  void requestThatWasNotSentGivesItsTokenBack() {
    long now = limitedUntilRoom();
    rate.take();
    rate.giveBack();
    assertThat(rate.millisUntilRoom(now)).isEqualTo(0);
  }

  /** A response to a request that was sent before the limit was named says nothing of its end. */
  @Test
  void onlyALaterRequestShowsTheEndOfALimit() {
    limitedUntilRoom();
    rate.record(SendLimit.NONE, 900, 1_100);
    assertThat(rate.isLimited()).isTrue();
    rate.record(SendLimit.NONE, 1_050, 1_200);
    assertThat(rate.isLimited()).isFalse();
    assertThat(rate.millisUntilRoom(1_200)).isEqualTo(0);
  }
}
