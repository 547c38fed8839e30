package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Guards against a process that counts as cold for ever or not for long enough, as reports are read
 * again and again and may be older than responses.
 */
final class ColdStateTest {
  private static final ColdLimits LIMITS = new ColdLimits(20_000, 1);
  private final ColdState state =
      new ColdState("u", new ColdTolerance(1.5, 5), () -> 1, new SplittableRandom(1));

  ColdStateTest() {
    state.setLimits(Optional.of(LIMITS), 0);
  }

  private void report(long number, long leftMillis, long nowMillis) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("u", 1);
    state.recordReport(
        new UpstreamReport("u", "s", "v", address, "z", 64, false, leftMillis, 1, number),
        nowMillis);
  }

  @Test
  void reportThatIsReadAgainChangesNothing() {
    report(1, 5_000, 0);
    report(1, 5_000, 4_000);
    assertThat(state.isCold(4_999)).isTrue();
    assertThat(state.isCold(5_000)).isFalse();
  }

  @Test
  void laterReportDecides() {
    report(1, 5_000, 0);
    report(2, 0, 1_200);
    assertThat(state.isCold(1_200)).isFalse();
    report(3, 9_000, 2_400);
    assertThat(state.isCold(11_000)).isTrue();
  }

  /** A report that is read shortly after a response may have been written before it. */
  @Test
  void reportDoesNotEndWhatAResponseSaidShortlyBefore() {
    report(1, 0, 0);
    state.recordResponse(8_000, 900, 1_000);
    report(2, 0, 2_000);
    assertThat(state.isCold(2_000)).isTrue();
    report(3, 0, 3_200);
    assertThat(state.isCold(3_200)).isFalse();
  }

  @Test
  void responseToAnEarlierRequestEndsNothing() {
    state.recordResponse(8_000, 900, 1_000);
    state.recordResponse(0, 800, 1_100);
    assertThat(state.isCold(1_100)).isTrue();
    state.recordResponse(0, 1_050, 1_200);
    assertThat(state.isCold(1_200)).isFalse();
  }

  @Test
  void processOfUnknownStateIsColdUntilAReportOrForTheTimeOfItsService() {
    report(1, 0, 0);
    state.assumeCold("zone", 1_000);
    report(1, 0, 1_250);
    assertThat(state.isCold(20_999)).isTrue();
    assertThat(state.isCold(21_000)).isFalse();
    state.assumeCold("zone", 30_000);
    report(2, 0, 32_500);
    assertThat(state.isCold(32_500)).isFalse();
  }

  @Test
  void serviceWithoutARateIsNotAffected() {
    state.setLimits(Optional.empty(), 0);
    report(1, 5_000, 0);
    state.assumeCold("zone", 0);
    assertThat(state.isCold(100)).isFalse();
    assertThat(state.millisUntilRoom(100)).isEqualTo(0);
  }

  /** A connection may open after the process became cold; its request must count all the same. */
  @Test
  void requestThatWasStartedBeforeTakesATokenWhenItIsSent() {
    int warm = state.takeToken(0);
    report(1, 10_000, 0);
    long roomAtMillis = state.millisUntilRoom(0);
    assertThat(roomAtMillis).isGreaterThan(0);
    assertThat(state.admitsStarted(warm, 0)).isFalse();
    state.giveBack(warm);
    assertThat(state.admitsStarted(warm, roomAtMillis)).isTrue();
    assertThat(state.millisUntilRoom(roomAtMillis)).isGreaterThan(0);
    int cold = state.takeToken(roomAtMillis + 2_000);
    assertThat(state.admitsStarted(cold, roomAtMillis + 2_000)).isTrue();
  }
}
