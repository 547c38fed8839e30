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
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.direct.ConnectionPool;
import org.tanagerbank.direct.DirectUpstream;
import org.tanagerbank.engine.EngineModel;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.route.EngineLimits;

/** Guards against sessions that wander, and against engines that take more than their share. */
final class PlacementTest {
  private static final double LOAD_MULTIPLE = 2;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
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
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    DirectUpstream upstream = new DirectUpstream(id, "s", address, "z", 64, false, 0, 1, 1);
    UpstreamHandle handle =
        new UpstreamHandle(upstream, ConnectionPool.create(group.next(), address, () -> 0));
    handle.setEngineLimits(new EngineLimits(64, 300_000, transferMillisPerToken));
    return handle;
  }

  private static Prompt prompt(long session, long request) {
    return new Prompt(
        "m",
        ImmutableList.of(
            new PromptPart(1, 2_500), new PromptPart(session, 6_000), new PromptPart(request, 500)),
        9_000,
        50);
  }

  private UpstreamHandle place(List<UpstreamHandle> upstreams, Prompt prompt, long now) {
    return choose(upstreams, upstreams, prompt, now).upstream();
  }

  private static Choice choose(
      List<UpstreamHandle> upstreams, List<UpstreamHandle> keepers, Prompt prompt, long now) {
    return Placement.choose(
            upstreams,
            new PlacementRequest(Optional.of(prompt), 600, "z", LOAD_MULTIPLE, keepers, now))
        .get();
  }

  private UpstreamHandle send(Prompt prompt, String requestId, long now) {
    UpstreamHandle chosen = place(engines, prompt, now);
    chosen.began();
    chosen.engine().get().sent(requestId, prompt, 0, now);
    return chosen;
  }

  @Test
  void instancesWithoutKnowledgeAgreeOnTheHome() {
    List<UpstreamHandle> elsewhere =
        IntStream.range(0, 6).mapToObj(i -> engine("i-" + (5 - i))).collect(Collectors.toList());
    for (long session = 100; session < 150; session++) {
      assertThat(place(engines, prompt(session, 1), 0).upstream().id())
          .isEqualTo(place(elsewhere, prompt(session, 2), 0).upstream().id());
    }
  }

  @Test
  void sessionsSpreadOverTheEngines() {
    Set<String> homes = new HashSet<>();
    for (long session = 100; session < 150; session++) {
      homes.add(place(engines, prompt(session, 1), 0).upstream().id());
    }
    assertThat(homes).hasSize(6);
  }

  @Test
  void sessionReturnsToTheEngineThatHasItCached() {
    UpstreamHandle first = send(prompt(7, 1), "r1", 0);
    first.ended();
    first.engine().get().ended("r1");
    assertThat(place(engines, prompt(7, 2), 2_000)).isEqualTo(first);
    engines.remove(first);
    UpstreamHandle second = send(prompt(7, 3), "r3", 3_000);
    second.ended();
    engines.add(first);
    engines.add(engine("i-new"));
    assertThat(place(engines, prompt(7, 4), 9_000)).isAnyOf(first, second);
  }

  /** Hot key: most requests are about one session; the engines still share the work. */
  @Test
  void hotSessionStaysWithinTheLoadBound() {
    for (int i = 0; i < 60; i++) {
      send(prompt(7, 1_000 + i), "r" + i, i * 20L);
    }
    int most = engines.stream().mapToInt(UpstreamHandle::ownInFlight).max().getAsInt();
    double mean = engines.stream().mapToInt(UpstreamHandle::ownInFlight).average().getAsDouble();
    assertThat((double) most).isAtMost(LOAD_MULTIPLE * mean + 3);
  }

  /** Release: the engine that kept a session leaves; its successor need not read it again. */
  @Test
  void sessionOfALeavingEngineIsFetchedFromIt() {
    UpstreamHandle leaving = send(prompt(7, 1), "r1", 0);
    List<UpstreamHandle> others = new ArrayList<>(engines);
    others.remove(leaving);
    Choice choice = choose(others, engines, prompt(7, 2), 2_000);
    assertThat(choice.fetch()).hasValue(new CacheFetch(leaving, 8_500));
  }

  /** Lost third of the workers: what only an engine out of reach keeps cannot be fetched. */
  @Test
  void nothingIsFetchedFromAnEngineOutOfReach() {
    UpstreamHandle lost = send(prompt(7, 1), "r1", 0);
    lost.health().notConnected(1_900);
    List<UpstreamHandle> others = new ArrayList<>(engines);
    others.remove(lost);
    assertThat(choose(others, engines, prompt(7, 2), 2_000).fetch()).isEmpty();
  }

  /** Hot key: engines that help out need not read the session, so that they answer in time. */
  @Test
  void hotSessionIsFetchedByEnginesThatHelpOut() {
    UpstreamHandle home = send(prompt(7, 1), "r1", 0);
    UpstreamHandle helper = engines.stream().filter(e -> !e.equals(home)).findFirst().get();
    Choice choice = choose(List.of(helper), engines, prompt(7, 2), 500);
    assertThat(choice.fetchedTokens()).isEqualTo(8_500);
    EngineModel model = helper.engine().get();
    assertThat(model.firstTokenMillis(prompt(7, 2), choice.fetchedTokens(), 500))
        .isLessThan(model.firstTokenMillis(prompt(7, 2), 0, 500) / 4);
  }

  /** Steady load: a session stays where it is kept, although another engine is its home. */
  @Test
  void keptSessionDoesNotMoveToItsHome() {
    for (long session = 100; session < 150; session++) {
      UpstreamHandle home = place(engines, prompt(session, 1), 0);
      UpstreamHandle other = engines.get((engines.indexOf(home) + 1) % engines.size());
      other.engine().get().restore(prompt(session, 1).parts());
      assertThat(place(engines, prompt(session, 2), 0)).isEqualTo(other);
    }
  }

  /** Engines that cannot fetch, or that lack only a few tokens, are not told to. */
  @Test
  void smallOrImpossibleFetchesAreLeftOut() {
    Prompt small = new Prompt("m", ImmutableList.of(new PromptPart(5, 150)), 300, 50);
    UpstreamHandle keeper = engines.get(0);
    keeper.engine().get().restore(small.parts());
    keeper.engine().get().restore(prompt(7, 1).parts());
    List<UpstreamHandle> others = engines.subList(1, 6);
    assertThat(choose(others, engines, small, 0).fetch()).isEmpty();
    UpstreamHandle rigid = engine("i-rigid", OptionalDouble.empty());
    assertThat(choose(List.of(rigid), engines, prompt(7, 2), 0).fetch()).isEmpty();
  }

  /** One long prompt among short ones: those that would wait behind it go elsewhere. */
  @Test
  void longPromptDoesNotHoldUpShortOnes() {
    Prompt huge = new Prompt("m", ImmutableList.of(new PromptPart(900, 60_000)), 60_000, 50);
    UpstreamHandle busy = send(huge, "huge", 0);
    for (long session = 100; session < 130; session++) {
      assertThat(place(engines, prompt(session, 1), 10)).isNotEqualTo(busy);
    }
  }

  /** Release: an upstream that cannot be reached is left out while others can. */
  @Test
  void unreachableEngineIsAvoided() {
    UpstreamHandle home = place(engines, prompt(7, 1), 0);
    home.health().notConnected(0);
    assertThat(place(engines, prompt(7, 2), 10)).isNotEqualTo(home);
    engines.forEach(e -> e.health().notConnected(0));
    assertThat(place(engines, prompt(7, 3), 10)).isEqualTo(home);
  }
}
