package org.tanagerbank.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;

/**
 * Guards against entries that choose different upstreams for the same chat, and against requests
 * sent to upstreams that must not receive them.
 *
 * <p>Entries may disagree because their instance lists differ. An upstream may receive requests in
 * error because it has left or because its load is too high.
 */
final class SlotRouterTest {
  private final Random random = new Random(8);

  private static SlotRouter router(List<Upstream> live) {
    SlotRouter router = new SlotRouter(RoutingSamples.spec(64), RoutingSamples.ZONE);
    router.setUpstreams(live, 0);
    router.updateMean(new MeanLoadEstimate(4, live.size(), 0), 0);
    return router;
  }

  private static List<Upstream> upstreams(int size) {
    return IntStream.range(0, size).mapToObj(i -> RoutingSamples.upstream(i, 1)).toList();
  }

  private RouteDecision.Send send(SlotRouter router, long chat, String... excluded) {
    RouteRequest request = RoutingSamples.request(chat, ImmutableSet.copyOf(excluded));
    return (RouteDecision.Send) router.choose(request, 1_000, random);
  }

  @Test
  void routersWithDifferentListsAgreeOnSharedCandidates() {
    List<Upstream> all = upstreams(20);
    List<Upstream> some = new ArrayList<>(all);
    some.remove(7);
    SlotRouter a = router(all);
    SlotRouter b = router(some);
    int shared = 0;
    for (long chat = 0; chat < 2_000; chat++) {
      ChatKey key = new ChatKey(SlotTable.mixBits(chat));
      if (!a.directoryHolders(key).equals(b.directoryHolders(key))) {
        assertThat(a.directoryHolders(key)).contains(all.get(7));
      } else {
        shared++;
        assertThat(send(a, key.hash())).isEqualTo(send(b, key.hash()));
      }
    }
    assertThat(shared).isGreaterThan(1_000);
  }

  @Test
  void upstreamThatLeftReceivesNoRequests() {
    SlotRouter router = router(upstreams(10));
    router.setUpstreams(upstreams(9), 500);
    for (long chat = 0; chat < 2_000; chat++) {
      assertThat(send(router, SlotTable.mixBits(chat)).upstream().id()).isNotEqualTo("u9");
    }
  }

  @Test
  void newChatAvoidsLoadedHome() {
    SlotRouter router = router(upstreams(5));
    Upstream home = send(router, 42).home();
    router.updateLoad(home.id(), 9, 1_000);
    RouteRequest newChat =
        new RouteRequest("w", new ChatKey(42), ImmutableSet.of(), Optional.empty(), false);
    RouteDecision.Send send = (RouteDecision.Send) router.choose(newChat, 1_000, random);
    assertThat(send.upstream()).isNotEqualTo(home);
    assertThat(send(router, 42).upstream()).isEqualTo(home);
  }

  @Test
  void refusalIncludesRetryTime() {
    SlotRouter empty = new SlotRouter(RoutingSamples.spec(64), RoutingSamples.ZONE);
    RouteDecision decision = empty.choose(RoutingSamples.request(1, ImmutableSet.of()), 0, random);
    RouteDecision.Refuse refuse = (RouteDecision.Refuse) decision;
    assertThat(refuse.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    assertThat(refuse.retryAfterMillis()).isGreaterThan(0);
  }

  @Test
  void onlyAcceptedRequestsAtLiveUpstreamsCount() {
    SlotRouter router = router(upstreams(3));
    router.recordSent("u1", "w", 0);
    assertThat(router.acceptedAtLiveUpstreams()).isEqualTo(0);
    router.recordAccepted("u1", 1, 1);
    assertThat(router.acceptedAtLiveUpstreams()).isEqualTo(1);
    router.setUpstreams(List.of(RoutingSamples.upstream(0, 1)), 2);
    assertThat(router.acceptedAtLiveUpstreams()).isEqualTo(0);
    router.recordEnded("u1", "w", 3);
    assertThat(router.acceptedAtLiveUpstreams()).isEqualTo(0);
  }
}
