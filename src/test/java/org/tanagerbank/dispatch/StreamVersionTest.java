package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that hold events of upstreams of two software versions, within a response
 * or over the attempts of a caller, and against streams that do not go on although they could.
 */
final class StreamVersionTest {
  private static final int GATEWAYS = 4;
  private static final int UPSTREAMS = 6;

  /** The time until gateways trust that the versions that they know are all that there were. */
  private static final long WARM_UP_MILLIS = 30_000;

  private DispatchSimulation fleet = mixedFleet();

  private static DispatchSimulation mixedFleet() {
    return new DispatchSimulation(
        GATEWAYS, UPSTREAMS, false, upstream -> upstream % 2 == 0 ? "v1" : "v2");
  }

  private List<Call> startStreams(int count) {
    List<Call> started = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      started.add(fleet.send(i % GATEWAYS, "/resume/x", "stream " + i));
    }
    return started;
  }

  private static ImmutableList<String> versions(Call... parts) {
    return ImmutableList.copyOf(parts).stream()
        .flatMap(c -> c.eventFields("data").stream())
        .distinct()
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean isWhole(Call... parts) {
    long events =
        ImmutableList.copyOf(parts).stream().mapToInt(c -> c.eventFields("id").size()).sum();
    return events == SimulatedStream.EVENTS;
  }

  @Test
  void streamGoesOnWithinAResponseOnlyAtTheVersionThatBeganIt() {
    List<Call> streams = startStreams(24);
    fleet.advance(50);
    fleet.upstreams().subList(0, 2).forEach(u -> u.crash(fleet.nowMillis()));
    fleet.advance(1_000);
    for (Call stream : streams) {
      assertWithMessage("versions of %s", stream).that(versions(stream)).hasSize(1);
    }
    assertThat(streams.stream().filter(StreamVersionTest::isWhole).count()).isEqualTo(24);
  }

  @Test
  void streamEndsAtOnceWhenNoUpstreamOfItsVersionIsLeft() {
    List<Call> streams = startStreams(24);
    fleet.advance(50);
    for (int i = 0; i < UPSTREAMS; i += 2) {
      fleet.upstreams().get(i).crash(fleet.nowMillis());
    }
    fleet.advance(10);
    fleet.advance(1_000);
    for (Call stream : streams) {
      assertWithMessage("versions of %s", stream).that(versions(stream)).hasSize(1);
      assertThat(stream.isEnded).isTrue();
    }
  }

  /** Takes up streams at the next gateway after theirs has ended, as callers do. */
  private List<Call> takeUpAfterEndOfGateway(List<Call> streams, int gateway) {
    List<Call> taken = new ArrayList<>();
    fleet.restart(gateway);
    // Other work in between, so that the order of placements is not the same again.
    fleet.send((gateway + 1) % GATEWAYS, "/resume/x", "other");
    for (int i = gateway; i < streams.size(); i += GATEWAYS) {
      taken.add(fleet.takeUp((gateway + 1) % GATEWAYS, streams.get(i), streams.get(i).id));
    }
    return taken;
  }

  @Test
  void callersTakeUpStreamsAtTheVersionThatBeganThem() {
    List<Call> streams = startStreams(48);
    fleet.advance(50);
    List<Call> taken = takeUpAfterEndOfGateway(streams, 1);
    fleet.advance(1_000);
    int whole = 0;
    for (int i = 0; i < taken.size(); i++) {
      Call first = streams.get(1 + GATEWAYS * i);
      assertWithMessage("versions of %s", first).that(versions(first, taken.get(i))).hasSize(1);
      whole += isWhole(first, taken.get(i)) ? 1 : 0;
    }
    assertThat(whole).isEqualTo(taken.size());
  }

  @Test
  void streamOfUnknownVersionIsRefusedAtOnceAsNotRun() {
    fleet.advance(WARM_UP_MILLIS);
    List<Call> streams = startStreams(4);
    fleet.advance(50);
    int runs = fleet.runs().size();
    Call taken = fleet.takeUp(0, streams.get(1), "unknown");
    fleet.advance(200);
    assertThat(taken.status).isEqualTo(503);
    assertThat(taken.headers.get("Retry-After")).isNotNull();
    assertThat(fleet.runs()).hasSize(runs);
  }

  /**
   * A gateway that learns late of the upstreams of a new version must not take the old one for the
   * only one that there was.
   */
  @Test
  void gatewayThatIsOutOfStepDoesNotGuessTheVersion() {
    fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, false);
    fleet.advance(WARM_UP_MILLIS);
    fleet.setStoreCutOff(0, true);
    fleet.setCutOff(0, true);
    for (int i = 0; i < UPSTREAMS; i += 2) {
      fleet.upstreams().get(i).setNextVersion("v2");
      fleet.upstreams().get(i).crash(fleet.nowMillis());
    }
    fleet.advance(8_000);
    List<Call> streams = startStreams(24);
    fleet.advance(50);
    streams.removeIf(s -> s.gateway == 0 || !versions(s).equals(ImmutableList.of("v2")));
    assertThat(streams).isNotEmpty();
    streams.forEach(Call::leave);
    List<Call> taken = streams.stream().map(s -> fleet.takeUp(0, s, s.id)).toList();
    fleet.advance(2_000);
    for (int i = 0; i < taken.size(); i++) {
      assertWithMessage("versions of %s", taken.get(i))
          .that(versions(streams.get(i), taken.get(i)))
          .hasSize(1);
    }
  }

  /** A gateway that restarted does not know which versions there were before. */
  @Test
  void streamOfUnknownVersionIsTakenUpWhereThereWasOneVersionForLong() {
    fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, false);
    fleet.advance(WARM_UP_MILLIS);
    List<Call> streams = startStreams(4);
    fleet.advance(50);
    Call taken = fleet.takeUp(0, streams.get(1), "unknown");
    fleet.restart(2);
    Call refused = fleet.takeUp(2, streams.get(1), "unknown");
    fleet.advance(1_000);
    assertThat(isWhole(streams.get(1))).isTrue();
    assertThat(taken.status).isEqualTo(200);
    assertThat(refused.status).isEqualTo(503);
  }

  /** Takes up streams at gateways that all have restarted, after a time. */
  private List<Call> takeUpAfterLossOfAllGateways(List<Call> streams, long millis) {
    IntStream.range(0, GATEWAYS).forEach(fleet::restart);
    fleet.advance(millis);
    List<Call> taken =
        streams.stream().map(s -> fleet.takeUp((s.gateway + 1) % GATEWAYS, s, s.id)).toList();
    fleet.advance(2_000);
    return taken;
  }

  /** Guards against streams that nobody takes up because all gateways were killed (review/14). */
  @Test
  void streamsOfTheOnlyVersionGoOnAfterTheLossOfAllGateways() {
    fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, false);
    fleet.setStoreHistoryMillis(19_200);
    fleet.advance(WARM_UP_MILLIS);
    List<Call> streams = startStreams(24);
    fleet.advance(50);
    List<Call> taken = takeUpAfterLossOfAllGateways(streams, 3_000);
    for (int i = 0; i < taken.size(); i++) {
      assertThat(isWhole(streams.get(i), taken.get(i))).isTrue();
    }
  }

  /** What another gateway remembers of a stream goes before what the store tells. */
  @Test
  void storeIsNotAskedBeforeOtherGatewaysCanHaveBeenHeard() {
    fleet = new DispatchSimulation(GATEWAYS, UPSTREAMS, false);
    fleet.setStoreHistoryMillis(19_200);
    fleet.advance(WARM_UP_MILLIS);
    List<Call> streams = startStreams(24);
    fleet.advance(50);
    for (Call taken : takeUpAfterLossOfAllGateways(streams, 500)) {
      assertThat(taken.status).isEqualTo(503);
      assertThat(taken.headers.get("Retry-After")).isNotNull();
    }
  }

  /** The list of upstreams shows one version, but there was another one when streams began. */
  @Test
  void streamsAreNotGuessedIfTheStoreNamesAnotherVersionThatIsGone() {
    fleet.setStoreHistoryMillis(19_200);
    fleet.advance(WARM_UP_MILLIS);
    List<Call> streams = startStreams(24);
    fleet.advance(50);
    for (int i = 0; i < UPSTREAMS; i += 2) {
      fleet.upstreams().get(i).setNextVersion("v2");
      fleet.upstreams().get(i).crash(fleet.nowMillis());
    }
    List<Call> taken = takeUpAfterLossOfAllGateways(streams, 10_000);
    for (int i = 0; i < taken.size(); i++) {
      assertThat(versions(streams.get(i), taken.get(i))).hasSize(1);
    }
  }

  /** The store may delete reports at any time, also those of a version that is gone. */
  @Test
  void streamsAreNotGuessedIfTheStoreHasForgottenReports() {
    fleet.setStoreHistoryMillis(5_000);
    fleet.advance(WARM_UP_MILLIS);
    List<Call> streams = startStreams(24);
    fleet.advance(50);
    for (int i = 0; i < UPSTREAMS; i += 2) {
      fleet.upstreams().get(i).setNextVersion("v2");
      fleet.upstreams().get(i).crash(fleet.nowMillis());
    }
    List<Call> taken = takeUpAfterLossOfAllGateways(streams, 8_000);
    for (int i = 0; i < taken.size(); i++) {
      assertThat(versions(streams.get(i), taken.get(i))).hasSize(1);
    }
  }
}
