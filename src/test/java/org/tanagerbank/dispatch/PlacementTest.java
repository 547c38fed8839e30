package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.capacity.ServiceCapacity;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.upstream.ConnectionPool;
import org.tanagerbank.upstream.UpstreamReport;
import org.tanagerbank.zone.Evacuations;

/**
 * Tests the choice of an upstream.
 *
 * <p>Guards against sessions that move between engines and so have their prompts prefilled again,
 * and against engines that get more requests than the load limit allows, as when one session
 * receives most of the requests.
 */
final class PlacementTest {
  private static final double LOAD_MULTIPLE = 2;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final Evacuations evacuations = new Evacuations();
  private final List<UpstreamHandle> engines =
      IntStream.range(0, 6).mapToObj(i -> engine("i-" + i)).collect(Collectors.toList());

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  private UpstreamHandle engine(String id) {
    return engine(id, OptionalDouble.of(0.001));
  }

  private UpstreamHandle engine(String id, OptionalDouble transferMillisPerToken) {
    return engine(id, "v1", transferMillisPerToken);
  }

  private UpstreamHandle engine(String id, String version, OptionalDouble transferMillisPerToken) {
    return engine(id, version, "z", transferMillisPerToken);
  }

  private UpstreamHandle engineInZone(String id, String zone) {
    return engine(id, "v1", zone, OptionalDouble.of(0.001));
  }

  private UpstreamHandle engine(
      String id, String version, String zone, OptionalDouble transferMillisPerToken) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    UpstreamReport upstream =
        new UpstreamReport(id, "s", version, address, zone, 64, false, 0, 1, 1);
    UpstreamHandle handle =
        new UpstreamHandle(
            upstream,
            ConnectionPool.create(group.next(), address, () -> 0),
            new SendPermission(() -> 0, () -> new SendRate(() -> 1, new SplittableRandom(1))),
            evacuations,
            new ColdState(id, ColdTolerance.NONE, () -> 1, new SplittableRandom(1)),
            new ServiceCapacity(),
            /* nowMillis= */ 0);
    handle.setEngineLimits(new EngineLimits(64, 300_000, transferMillisPerToken));
    return handle;
  }

  private static List<UpstreamHandle> plainUpstreams(int count, NioEventLoopGroup group) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    ServiceCapacity capacity = new ServiceCapacity();
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new UpstreamHandle(
                    new UpstreamReport("p-" + i, "p", "v1", address, "z", 6, false, 0, 1, 1),
                    ConnectionPool.create(group.next(), address, () -> 0),
                    new SendPermission(
                        () -> 0, () -> new SendRate(() -> 1, new SplittableRandom())),
                    new Evacuations(),
                    new ColdState("p", ColdTolerance.NONE, () -> 1, new SplittableRandom(1)),
                    capacity,
                    /* nowMillis= */ 0))
        .toList();
  }

  private static UpstreamHandle placePlain(List<UpstreamHandle> upstreams, long nowMillis) {
    return Placement.choose(
            upstreams,
            new PlacementRequest(
                Optional.empty(),
                150,
                "z",
                LOAD_MULTIPLE,
                upstreams,
                nowMillis,
                new SplittableRandom(1)))
        .get()
        .upstream();
  }

  /**
   * Guards against requests that go to a plain upstream 4 times slower than another one because it
   * is idle, and against choices by time while the times are alike.
   */
  @Test
  void plainRequestsAvoidUpstreamThatWasFoundSlow() {
    List<UpstreamHandle> upstreams = plainUpstreams(2, group);
    upstreams.get(1).requestStarted(0);
    for (int i = 0; i < 40; i++) {
      upstreams.get(0).recordResponseTime(1, 35, 900);
      upstreams.get(1).recordResponseTime(1, 36, 900);
    }
    assertThat(placePlain(upstreams, 900)).isEqualTo(upstreams.get(0));
    for (int i = 0; i < 120; i++) {
      upstreams.get(0).recordResponseTime(1, 140, 950);
    }
    assertThat(placePlain(upstreams, 1_000)).isEqualTo(upstreams.get(1));
  }

  private static Prompt prompt(long session, long request) {
    return new Prompt(
        "m",
        ImmutableList.of(
            new PromptPart(1, 2_500), new PromptPart(session, 6_000), new PromptPart(request, 500)),
        9_000,
        50);
  }

  private UpstreamHandle place(List<UpstreamHandle> upstreams, Prompt prompt, long nowMillis) {
    return choose(upstreams, upstreams, prompt, nowMillis).upstream();
  }

  private static UpstreamChoice choose(
      List<UpstreamHandle> upstreams,
      List<UpstreamHandle> cacheCandidates,
      Prompt prompt,
      long nowMillis) {
    return Placement.choose(
            upstreams,
            new PlacementRequest(
                Optional.of(prompt),
                600,
                "z",
                LOAD_MULTIPLE,
                cacheCandidates,
                nowMillis,
                new SplittableRandom(1)))
        .get();
  }

  private UpstreamHandle send(Prompt prompt, String requestId, long nowMillis) {
    UpstreamHandle chosen = place(engines, prompt, nowMillis);
    chosen.requestStarted(0);
    chosen.engine().get().requestSent(requestId, prompt, 0, nowMillis);
    return chosen;
  }

  @Test
  void instancesWithEmptyStateAgreeOnHome() {
    List<UpstreamHandle> otherInstanceView =
        IntStream.range(0, 6).mapToObj(i -> engine("i-" + (5 - i))).collect(Collectors.toList());
    for (long session = 100; session < 150; session++) {
      assertThat(place(engines, prompt(session, 1), 0).report().id())
          .isEqualTo(place(otherInstanceView, prompt(session, 2), 0).report().id());
    }
  }

  @Test
  void sessionsAreSpreadOverAllEngines() {
    Set<String> homes = new HashSet<>();
    for (long session = 100; session < 150; session++) {
      homes.add(place(engines, prompt(session, 1), 0).report().id());
    }
    assertThat(homes).hasSize(6);
  }

  @Test
  void sessionReturnsToEngineThatHasItCached() {
    UpstreamHandle first = send(prompt(7, 1), "r1", 0);
    first.requestEnded();
    first.engine().get().requestEnded("r1");
    assertThat(place(engines, prompt(7, 2), 2_000)).isEqualTo(first);
    engines.remove(first);
    UpstreamHandle second = send(prompt(7, 3), "r3", 3_000);
    second.requestEnded();
    engines.add(first);
    engines.add(engine("i-new"));
    assertThat(place(engines, prompt(7, 4), 9_000)).isAnyOf(first, second);
  }

  /**
   * Hot key: most requests belong to one session, but the load is still spread over the engines.
   */
  @Test
  void hotSessionStaysWithinLoadLimit() {
    for (int i = 0; i < 60; i++) {
      send(prompt(7, 1_000 + i), "r" + i, i * 20L);
    }
    int maxInFlight = engines.stream().mapToInt(UpstreamHandle::ownInFlight).max().getAsInt();
    double mean = engines.stream().mapToInt(UpstreamHandle::ownInFlight).average().getAsDouble();
    assertThat((double) maxInFlight).isAtMost(LOAD_MULTIPLE * mean + 3);
  }

  /**
   * Release: the engine that has a session cached is draining, and the next engine fetches the
   * cached parts instead of prefilling them again.
   */
  @Test
  void cachedSessionIsFetchedFromDrainingEngine() {
    UpstreamHandle draining = send(prompt(7, 1), "r1", 0);
    List<UpstreamHandle> others = new ArrayList<>(engines);
    others.remove(draining);
    UpstreamChoice choice = choose(others, engines, prompt(7, 2), 2_000);
    assertThat(choice.fetch()).hasValue(new CacheFetch(draining, 8_500));
  }

  /** Guards against cached parts that another software version wrote. */
  @Test
  void nothingIsFetchedFromEngineOfAnotherVersion() {
    send(prompt(7, 1), "r1", 0);
    UpstreamHandle updated = engine("i-new", "v2", OptionalDouble.of(0.001));
    List<UpstreamHandle> all = new ArrayList<>(engines);
    all.add(updated);
    assertThat(choose(List.of(updated), all, prompt(7, 2), 2_000).fetch()).isEmpty();
  }

  /** Room of a cold engine must not be spent on requests for which others have room. */
  @Test
  void coldEngineGetsOnlyTheSessionsThatAreAtHomeThere() {
    UpstreamHandle cold = engines.get(0);
    List<Long> sessions = LongStream.range(100, 160).boxed().toList();
    List<Long> atHome =
        sessions.stream().filter(s -> place(engines, prompt(s, 1), 0).equals(cold)).toList();
    cold.updateCold(Optional.of(new ColdLimits(20_000, 8.3)), 0);
    cold.assumeCold(0);
    assertThat(atHome).isNotEmpty();
    assertThat(
            sessions.stream()
                .filter(s -> place(engines, prompt(s, 1), 6_000).equals(cold))
                .toList())
        .containsExactlyElementsIn(atHome);
    engines.stream().filter(e -> !e.equals(cold)).forEach(e -> e.health().connectFailed(5_990));
    assertThat(place(engines, prompt(7, 1), 6_000)).isEqualTo(cold);
  }

  /** A process that has just started is slow, however idle it looks. */
  @Test
  void engineThatHasJustStartedIsExpectedToBeSlow() {
    UpstreamHandle cold = engines.get(0);
    cold.updateCold(Optional.of(new ColdLimits(20_000, 8.3)), 0);
    cold.assumeCold(0);
    assertThat(cold.slowStartMillis(0)).isGreaterThan(300.0);
    assertThat(cold.slowStartMillis(2_500)).isLessThan(cold.slowStartMillis(0));
    assertThat(cold.slowStartMillis(6_000)).isEqualTo(0.0);
  }

  /** Loss of a third of the workers: parts cached only on an unreachable engine are not fetched. */
  @Test
  void nothingIsFetchedFromUnreachableEngine() {
    UpstreamHandle unreachable = send(prompt(7, 1), "r1", 0);
    unreachable.health().connectFailed(1_900);
    List<UpstreamHandle> others = new ArrayList<>(engines);
    others.remove(unreachable);
    assertThat(choose(others, engines, prompt(7, 2), 2_000).fetch()).isEmpty();
  }

  /** Hot key: other engines fetch the cached session, so that they meet the objective. */
  @Test
  void hotSessionIsFetchedByOtherEngines() {
    UpstreamHandle home = send(prompt(7, 1), "r1", 0);
    UpstreamHandle helper = engines.stream().filter(e -> !e.equals(home)).findFirst().get();
    UpstreamChoice choice = choose(List.of(helper), engines, prompt(7, 2), 500);
    assertThat(choice.fetchedTokens()).isEqualTo(8_500);
    EngineModel model = helper.engine().get();
    assertThat(model.firstTokenMillis(prompt(7, 2), choice.fetchedTokens(), 500))
        .isLessThan(model.firstTokenMillis(prompt(7, 2), 0, 500) / 4);
  }

  /** Steady load: a session stays on the engine that has it cached, even if its home is another. */
  @Test
  void cachedSessionDoesNotMoveToItsHome() {
    for (long session = 100; session < 150; session++) {
      UpstreamHandle home = place(engines, prompt(session, 1), 0);
      UpstreamHandle other = engines.get((engines.indexOf(home) + 1) % engines.size());
      other.engine().get().addCachedParts(prompt(session, 1).parts());
      assertThat(place(engines, prompt(session, 2), 0)).isEqualTo(other);
    }
  }

  /** Engines that cannot fetch, or that lack only a few tokens, get no fetch instruction. */
  @Test
  void smallOrUnsupportedFetchesAreOmitted() {
    Prompt small = new Prompt("m", ImmutableList.of(new PromptPart(5, 150)), 300, 50);
    UpstreamHandle cachingEngine = engines.get(0);
    cachingEngine.engine().get().addCachedParts(small.parts());
    cachingEngine.engine().get().addCachedParts(prompt(7, 1).parts());
    List<UpstreamHandle> others = engines.subList(1, 6);
    assertThat(choose(others, engines, small, 0).fetch()).isEmpty();
    UpstreamHandle noFetchEngine = engine("i-rigid", OptionalDouble.empty());
    assertThat(choose(List.of(noFetchEngine), engines, prompt(7, 2), 0).fetch()).isEmpty();
  }

  /** One long prompt among short ones: requests that would queue behind it use other engines. */
  @Test
  void shortPromptsAvoidEngineWithLongPrompt() {
    Prompt huge = new Prompt("m", ImmutableList.of(new PromptPart(900, 60_000)), 60_000, 50);
    UpstreamHandle busy = send(huge, "huge", 0);
    for (long session = 100; session < 130; session++) {
      assertThat(place(engines, prompt(session, 1), 10)).isNotEqualTo(busy);
    }
  }

  /** Release: an unreachable upstream is used only if no upstream is reachable. */
  @Test
  void unreachableEngineIsAvoided() {
    UpstreamHandle home = place(engines, prompt(7, 1), 0);
    home.health().connectFailed(0);
    assertThat(place(engines, prompt(7, 2), 10)).isNotEqualTo(home);
    engines.forEach(e -> e.health().connectFailed(0));
    assertThat(place(engines, prompt(7, 3), 10)).isEqualTo(home);
  }

  /** The platform counts the upstreams of an evacuated zone for the mean load of the service. */
  @Test
  void upstreamsOfAnEvacuatedZoneCountForTheMeanLoad() {
    List<UpstreamHandle> all = new ArrayList<>(engines);
    all.add(engineInZone("evacuated-1", "y"));
    all.add(engineInZone("evacuated-2", "y"));
    evacuations.order("y", new TopicPosition(1, 1));
    Prompt prompt = prompt(3, 4);
    UpstreamHandle home = place(engines, prompt, 0);
    engines.forEach(u -> u.requestStarted(0));
    IntStream.range(0, 3).forEach(i -> home.requestStarted(0));
    // 9 requests: a mean of 1.5 over 6 engines, or 1.1 over 8. The limit of requests is 1.6 times
    // the mean and 2, so 4.4 or 3.8, and the home has 4.
    assertThat(choose(engines, engines, prompt, 0).upstream()).isEqualTo(home);
    assertThat(choose(engines, all, prompt, 0).upstream()).isNotEqualTo(home);
  }

  @Test
  void evacuatedEngineIsNoSourceOfCachedParts() {
    Prompt prompt = prompt(3, 4);
    UpstreamHandle source = engineInZone("source", "y");
    source.engine().get().requestSent("r", prompt, 0, 0);
    source.engine().get().firstTokenReceived("r", 100);
    source.engine().get().requestEnded("r");
    List<UpstreamHandle> target = engines.subList(0, 1);
    List<UpstreamHandle> sources = List.of(source);
    UpstreamChoice before = choose(target, sources, prompt, 200);
    assertThat(before.fetchAddress()).isPresent();
    evacuations.order("y", new TopicPosition(1, 1));
    assertThat(before.fetchAddress()).isEmpty();
    assertThat(choose(target, sources, prompt, 200).fetch()).isEmpty();
  }
}
