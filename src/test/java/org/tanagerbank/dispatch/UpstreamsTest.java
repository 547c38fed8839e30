package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.route.RouteTable;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.upstream.Connector;
import org.tanagerbank.upstream.UpstreamNotice;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Tests the list of upstreams.
 *
 * <p>Guards against an upstream that is used with the state of its previous process after a restart
 * under the same id, without an engine model, or after it began to drain or disappeared.
 */
final class UpstreamsTest {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private long wallMillis;
  private final Upstreams upstreams =
      new Upstreams(
          Connector.tcp(group.next()),
          () -> 0,
          () -> wallMillis,
          new SplittableRandom(1),
          ColdTolerance.NONE);

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  private static UpstreamReport report(String id, long started, boolean draining) {
    return new UpstreamReport(
        id, "s", "v1", new InetSocketAddress("127.0.0.1", 1), "z", 64, draining, 0, started, 1);
  }

  private static final Optional<RoutingConfig> CONFIG =
      Optional.of(
          new RoutingConfig(
              1,
              RouteTable.of(ImmutableList.of()),
              ImmutableMap.of(
                  "s",
                  new Service(
                      "s", 100, Optional.of(new EngineLimits(64, 1_000, OptionalDouble.empty())))),
              ImmutableMap.of(),
              false,
              CallerLimits.INITIAL));

  /** The list of upstreams may be read from the store before the configuration. */
  @Test
  void engineModelIsCreatedWhenConfigurationArrivesAfterUpstream() {
    upstreams.update(ImmutableList.of(report("a", 1, false)), Optional.empty());
    upstreams.update(ImmutableList.of(report("a", 1, false)), CONFIG);
    assertThat(upstreams.find("a").get().engine()).isPresent();
  }

  @Test
  void restartUnderSameIdDiscardsCachedState() {
    upstreams.update(ImmutableList.of(report("a", 1, false)), CONFIG);
    UpstreamHandle before = upstreams.find("a").get();
    upstreams.update(ImmutableList.of(report("a", 2, false)), CONFIG);
    assertThat(upstreams.find("a").get()).isNotEqualTo(before);
    assertThat(before.isClosed()).isTrue();
  }

  /** A restarted process may answer before its report is read. */
  @Test
  void pauseHoldsForTheProcessThatAskedForIt() {
    for (long startedMillis : new long[] {900, 1_100}) {
      upstreams.update(ImmutableList.of(report("a", 1, false)), CONFIG);
      wallMillis = 1_000;
      UpstreamNotice pause =
          new UpstreamNotice(
              false,
              OptionalLong.of(5_000),
              Optional.empty(),
              OptionalLong.empty(),
              Optional.empty());
      upstreams.find("a").get().recordNotice(pause, 0, 0);
      upstreams.update(ImmutableList.of(report("a", startedMillis, false)), CONFIG);
      boolean askedByThisProcess = startedMillis <= wallMillis;
      assertThat(upstreams.find("a").get().acceptsRequests(0)).isEqualTo(!askedByThisProcess);
      upstreams.update(ImmutableList.of(), CONFIG);
    }
  }

  @Test
  void drainingAndRemovedUpstreamsAreNotCandidates() {
    upstreams.update(
        ImmutableList.of(report("a", 1, false), report("b", 1, false), report("c", 1, false)),
        CONFIG);
    upstreams.update(ImmutableList.of(report("a", 1, true), report("b", 1, false)), CONFIG);
    assertThat(upstreams.candidates("s", ImmutableSet.of())).hasSize(1);
    assertThat(upstreams.candidates("s", ImmutableSet.of("b"))).isEmpty();
    assertThat(upstreams.candidates("t", ImmutableSet.of())).isEmpty();
  }

  /**
   * Guards against requests for a process that has ended, which reach the one that has its address:
   * in the pause that it asked for, or beyond its limit.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void upstreamWhoseAddressAnotherProcessHasIsLeftAlone(boolean areFoundTogether) {
    if (!areFoundTogether) {
      upstreams.update(ImmutableList.of(report("old", 0, false)), CONFIG);
    }
    long oldStarted = areFoundTogether ? 1 : 0;
    upstreams.update(
        ImmutableList.of(report("old", oldStarted, false), report("new", 2, false)), CONFIG);
    assertThat(upstreams.find("old").get().acceptsRequests(0)).isFalse();
    assertThat(upstreams.find("new").get().acceptsRequests(0)).isTrue();
  }
}
