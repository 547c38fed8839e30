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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.route.RouteTable;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.upstream.Connector;
import org.tanagerbank.upstream.SendLimit;
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
  private long nowMillis;
  private final Upstreams upstreams =
      new Upstreams(
          Connector.tcp(group.next()),
          () -> nowMillis,
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
      upstreams.find("a").get().recordNotice(pause, 0, 0, 0);
      upstreams.update(ImmutableList.of(report("a", startedMillis, false)), CONFIG);
      boolean askedByThisProcess = startedMillis <= wallMillis;
      assertThat(upstreams.find("a").get().acceptsRequests(0)).isEqualTo(!askedByThisProcess);
      upstreams.update(ImmutableList.of(), CONFIG);
    }
  }

  private static UpstreamNotice notice(String kind) {
    return new UpstreamNotice(
        kind.equals("leaving"),
        kind.equals("pause") ? OptionalLong.of(5_000) : OptionalLong.empty(),
        kind.equals("limit") ? Optional.of(new SendLimit(0)) : Optional.empty(),
        OptionalLong.empty(),
        Optional.empty());
  }

  /**
   * Guards against what a process says that is lost, or is held against the next one, because its
   * response came through the handle of the process before it or after the next report was read.
   */
  @ParameterizedTest
  @CsvSource({
    "pause,true",
    "pause,false",
    "leaving,true",
    "leaving,false",
    "limit,true",
    "limit,false"
  })
  void noticeHoldsForTheProcessAtItsConnection(String kind, boolean isReportReadFirst) {
    for (long connectedMillis : new long[] {900, 1_100}) {
      upstreams.update(ImmutableList.of(report("a", 1, false)), CONFIG);
      UpstreamHandle earlier = upstreams.find("a").get();
      wallMillis = 2_000;
      if (isReportReadFirst) {
        upstreams.update(ImmutableList.of(report("a", 1_000, false)), CONFIG);
      }
      earlier.recordNotice(notice(kind), connectedMillis - wallMillis, 0, 0);
      upstreams.update(ImmutableList.of(report("a", 1_000, false)), CONFIG);
      upstreams.update(ImmutableList.of(), CONFIG);
      upstreams.update(ImmutableList.of(report("a", 1_000, false)), CONFIG);
      UpstreamHandle current = upstreams.find("a").get();
      boolean isFromCurrent = connectedMillis >= 1_000;
      assertThat(current.isLimited()).isEqualTo(isFromCurrent && kind.equals("limit"));
      assertThat(current.hasAnnouncedEnd()).isEqualTo(isFromCurrent && kind.equals("leaving"));
      assertThat(current.acceptsRequests(0)).isEqualTo(!isFromCurrent);
      upstreams.update(ImmutableList.of(report("a", 3_000, false)), CONFIG);
    }
  }

  /** A report may be removed and written again in an outage, while its process lives on. */
  @Test
  void processThatIsBackKeepsWhatIsKnownOfIt() {
    upstreams.update(ImmutableList.of(report("a", 1, false)), CONFIG);
    UpstreamHandle before = upstreams.find("a").get();
    before.requestStarted(0);
    before.setPeerInFlight("g", 1);
    upstreams.update(ImmutableList.of(), CONFIG);
    assertThat(before.acceptsRequests(0)).isFalse();
    before.recordNotice(notice("pause"), 0, 0, 0);
    upstreams.update(ImmutableList.of(report("a", 1, false)), CONFIG);
    UpstreamHandle back = upstreams.find("a").get();
    assertThat(back.pausedUntilMillis(0)).isEqualTo(OptionalLong.of(5_000));
    assertThat(back.fleetInFlight(0)).isEqualTo(1);
    assertThat(back.isClosed()).isFalse();
    assertThat(back.acceptsRequests(5_000)).isTrue();
  }

  /** A run at the new process must not be blamed for the end of the one before it. */
  @ParameterizedTest
  @CsvSource({"900,true,1", "900,false,1", "1100,true,0", "1100,false,0"})
  void lostRunIsBlamedForTheEndOfItsOwnProcessOnly(
      long sentMillis, boolean isLostFirst, int suspects) {
    wallMillis = sentMillis;
    CrashGuard guard = new CrashGuard("g", () -> wallMillis, (task, delayMillis) -> {});
    Upstreams list =
        new Upstreams(
            Connector.tcp(group.next()),
            () -> wallMillis,
            () -> wallMillis,
            new SplittableRandom(1),
            ColdTolerance.NONE);
    list.setEndListener(guard::upstreamEnded);
    list.update(ImmutableList.of(report("a", 1, false)), CONFIG);
    RequestSuspects content = RequestSuspects.of(Fingerprint.ofPromptPart(1), Optional.empty());
    TrackedRun run = guard.runStarted(content, "holder", list.find("a").get(), Optional.empty());
    wallMillis = 2_000;
    if (isLostFirst) {
      guard.runLost(run, RunLoss.SILENT);
    }
    list.update(ImmutableList.of(report("a", 1_000, false)), CONFIG);
    if (!isLostFirst) {
      guard.runLost(run, RunLoss.SILENT);
    }
    assertThat(guard.nextSuspects()).hasSize(suspects);
  }

  /** A process must not wait for the end of the longer pause that the one before it asked for. */
  @Test
  void shortPauseOfTheNextProcessIsNotLengthened() {
    upstreams.update(ImmutableList.of(report("a", 1, false)), CONFIG);
    wallMillis = 2_000;
    UpstreamHandle earlier = upstreams.find("a").get();
    earlier.recordNotice(notice("pause"), -1_100, 0, 0);
    UpstreamNotice shorter =
        new UpstreamNotice(
            false, OptionalLong.of(100), Optional.empty(), OptionalLong.empty(), Optional.empty());
    earlier.recordNotice(shorter, -900, 0, 0);
    upstreams.update(ImmutableList.of(report("a", 1_000, false)), CONFIG);
    assertThat(upstreams.find("a").get().pausedUntilMillis(0)).isEqualTo(OptionalLong.of(100));
  }

  @Test
  void drainingAndRemovedUpstreamsAreNotCandidates() {
    upstreams.update(
        ImmutableList.of(report("a", 1, false), report("b", 1, false), report("c", 1, false)),
        CONFIG);
    upstreams.update(ImmutableList.of(report("a", 1, true), report("b", 1, false)), CONFIG);
    assertThat(upstreams.candidates(upstreams.allOfService("s"), ImmutableSet.of())).hasSize(1);
    assertThat(upstreams.candidates(upstreams.allOfService("s"), ImmutableSet.of("b"))).isEmpty();
    assertThat(upstreams.candidates(upstreams.allOfService("t"), ImmutableSet.of())).isEmpty();
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

  private static UpstreamReport report(String id, String service, long started, long number) {
    return new UpstreamReport(
        id,
        service,
        "v1",
        new InetSocketAddress("127.0.0.1", 1),
        "z",
        64,
        false,
        0,
        started,
        number);
  }

  private boolean isUsed(String id) {
    return upstreams.find(id).get().acceptsRequests(nowMillis);
  }

  /** Guards against sound upstreams that entries of another writer shut out (review/15). */
  @Test
  void entryOfAServiceThatIsNotNamedReplacesNobody() {
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1)), CONFIG);
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1), report("x", "other", 9, 1)), CONFIG);
    assertThat(isUsed("a")).isTrue();
  }

  /** Entries that were read with the first reports say nothing before services are known. */
  @Test
  void entriesReplaceNobodyBeforeThereIsAConfiguration() {
    ImmutableList<UpstreamReport> both =
        ImmutableList.of(report("a", "s", 1, 1), report("x", "other", 9, 1));
    upstreams.update(both, Optional.empty());
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1)), CONFIG);
    assertThat(isUsed("a")).isTrue();
  }

  /** An upstream that reports after it was taken for replaced must not stay shut out for good. */
  @Test
  void upstreamThatReportsAgainIsNotReplaced() {
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1)), CONFIG);
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1), report("x", "s", 9, 1)), CONFIG);
    assertThat(isUsed("a")).isFalse();
    nowMillis = 1_200;
    for (int number = 2; number < 5; number++) {
      upstreams.update(
          ImmutableList.of(report("a", "s", 1, number), report("x", "s", 9, 1)), CONFIG);
      assertThat(isUsed("a")).isTrue();
    }
  }

  /** The store may pass on no report that brings no change, so that only answers tell. */
  @Test
  void upstreamWhoseSuccessorIsNotAtTheAddressIsNotReplaced() {
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1), report("x", "s", 9, 1)), CONFIG);
    assertThat(isUsed("a")).isFalse();
    upstreams.find("x").get().claim().refute();
    assertThat(isUsed("a")).isTrue();
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1), report("x", "s", 9, 2)), CONFIG);
    assertThat(isUsed("a")).isTrue();
  }

  /** A report that was written before the end may be read together with the successor's first. */
  @Test
  void reportThatIsReadWithTheSuccessorsDoesNotKeepAProcessInUse() {
    upstreams.update(ImmutableList.of(report("a", "s", 1, 1)), CONFIG);
    nowMillis = 500;
    upstreams.update(ImmutableList.of(report("a", "s", 1, 2), report("b", "s", 9, 1)), CONFIG);
    assertThat(isUsed("a")).isFalse();
    assertThat(isUsed("b")).isTrue();
  }
}
