package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.TestRoutes;
import org.tanagerbank.route.WeightedService;

/**
 * Tests the parts of the dispatcher that need no network.
 *
 * <p>Guards against non-idempotent requests that run twice because they are retried after they may
 * have run, revoked keys that are still accepted under a stale configuration, stream events that
 * are forwarded incompletely, and requests that are sent to an upstream that keeps failing.
 */
final class DispatchPartsTest {
  private static Route route(RequestKind kind, int attempts, boolean resumable) {
    return new Route(
        "r",
        "h",
        "/",
        kind,
        1_000,
        100,
        attempts,
        0,
        false,
        resumable,
        ImmutableList.of(new WeightedService("s", 1)));
  }

  private static boolean retries(Route route, AttemptFailure failure, int sent) {
    return RetryPolicy.shouldRetry(route, failure, sent, 0, 500, () -> true);
  }

  @Test
  void requestThatMayHaveRunIsRetriedOnlyIfRouteAllowsIt() {
    AttemptFailure lost = AttemptFailure.responseLost("reset");
    assertThat(retries(route(RequestKind.IDEMPOTENT, 2, false), lost, 1)).isTrue();
    assertThat(retries(route(RequestKind.NON_IDEMPOTENT, 2, false), lost, 1)).isFalse();
    assertThat(retries(route(RequestKind.STREAM, 2, false), lost, 1)).isFalse();
    assertThat(retries(route(RequestKind.STREAM, 2, true), lost, 1)).isTrue();
  }

  @Test
  void errorStatusIsRetriedOnlyIfRouteAllowsIt() {
    assertThat(retries(route(RequestKind.IDEMPOTENT, 2, false), AttemptFailure.errorStatus(500), 1))
        .isTrue();
    assertThat(
            retries(
                route(RequestKind.NON_IDEMPOTENT, 2, false), AttemptFailure.errorStatus(500), 1))
        .isFalse();
  }

  @Test
  void requestThatDidNotRunIsRetriedUpToAttemptLimit() {
    AttemptFailure refused = AttemptFailure.refused(503, false);
    assertThat(retries(route(RequestKind.NON_IDEMPOTENT, 2, false), refused, 1)).isTrue();
    assertThat(retries(route(RequestKind.NON_IDEMPOTENT, 2, false), refused, 2)).isFalse();
  }

  @Test
  void exhaustedBudgetPreventsRetriesExceptAfterConnectFailures() {
    Route route = route(RequestKind.NON_IDEMPOTENT, 1, false);
    assertThat(
            RetryPolicy.shouldRetry(
                route, AttemptFailure.refused(503, false), 0, 0, 500, () -> false))
        .isFalse();
    assertThat(
            RetryPolicy.shouldRetry(route, AttemptFailure.notConnected(), 0, 1, 500, () -> false))
        .isTrue();
    assertThat(
            RetryPolicy.shouldRetry(route, AttemptFailure.notConnected(), 0, 4, 500, () -> false))
        .isFalse();
  }

  @Test
  void requestCloseToDeadlineIsNotRetried() {
    Route route = route(RequestKind.IDEMPOTENT, 3, false);
    assertThat(
            RetryPolicy.shouldRetry(route, AttemptFailure.responseLost("x"), 1, 0, 5, () -> true))
        .isFalse();
  }

  @Test
  void olderConfigurationIsNotAdopted() {
    ConfigState state = new ConfigState(5_000, 2_000);
    assertThat(state.adopt(TestRoutes.emptyConfig(7))).isTrue();
    assertThat(state.adopt(TestRoutes.emptyConfig(4))).isFalse();
    assertThat(state.adopt(TestRoutes.emptyConfig(7))).isFalse();
    assertThat(state.config().get().version()).isEqualTo(7);
  }

  @Test
  void keysAreAcceptedOnlyWhileConfigurationIsRecent() {
    ConfigState state = new ConfigState(5_000, 2_000);
    state.adopt(TestRoutes.emptyConfig(7));
    assertThat(state.allowsKeys(0)).isFalse();
    state.confirmCurrentAsOf(1_000);
    state.confirmCurrentAsOf(500);
    assertThat(state.allowsKeys(5_000)).isTrue();
    assertThat(state.isCurrent(2_900)).isTrue();
    assertThat(state.isCurrent(3_100)).isFalse();
    assertThat(state.allowsKeys(6_000)).isFalse();
  }

  @Test
  void failingUpstreamIsAvoidedExceptForTrialRequests() {
    UpstreamHealth health = new UpstreamHealth();
    for (int i = 0; i < 4; i++) {
      health.requestFailed();
    }
    health.requestSent(0);
    assertThat(health.isAvoided(500)).isTrue();
    assertThat(health.isAvoided(1_500)).isFalse();
    health.requestSent(1_500);
    assertThat(health.isAvoided(1_600)).isTrue();
    for (int i = 0; i < 4; i++) {
      health.requestSucceeded();
    }
    assertThat(health.isAvoided(1_700)).isFalse();
  }

  @Test
  void unreachableUpstreamIsAvoidedForLimitedTime() {
    UpstreamHealth health = new UpstreamHealth();
    health.connectFailed(0);
    assertThat(health.isAvoided(100)).isTrue();
    assertThat(health.isAvoided(600)).isFalse();
  }

  /** Only complete events are returned and no byte is lost, however the stream is fragmented. */
  @Property(tries = 300, seed = "31337")
  void onlyCompleteEventsAreReturned(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder stream = new StringBuilder();
    for (int i = 1; i <= 8; i++) {
      String end = random.nextBoolean() ? "\n" : "\r\n";
      stream.append("id: ").append(i).append(end).append("data: x").append(i);
      stream.append(end).append(end);
    }
    EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
    StringBuilder out = new StringBuilder();
    byte[] bytes = stream.toString().getBytes(UTF_8);
    for (int at = 0; at < bytes.length; ) {
      int length = Math.min(bytes.length - at, 1 + random.nextInt(30));
      ByteBuf piece = Unpooled.copiedBuffer(bytes, at, length);
      at += length;
      ByteBuf events = splitter.add(piece);
      piece.release();
      out.append(events.toString(UTF_8));
      events.release();
      assertThat(out.length() == 0 || out.charAt(out.length() - 1) == '\n').isTrue();
    }
    assertThat(out.toString()).isEqualTo(stream.toString());
    assertThat(splitter.lastEventId()).hasValue("8");
    splitter.release();
  }

  @Test
  void truncatedEventIsNotReturned() {
    EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
    ByteBuf events = splitter.add(Unpooled.copiedBuffer("id: 1\ndata: a\n\nid: 2\nda", UTF_8));
    assertThat(events.toString(UTF_8)).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.lastEventId()).hasValue("1");
    splitter.release();
  }
}
