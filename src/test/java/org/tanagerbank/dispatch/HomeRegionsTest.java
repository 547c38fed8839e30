package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.RouteTable;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.route.TestRoutes;
import org.tanagerbank.route.Workspace;
import org.tanagerbank.store.TopicPosition;

/**
 * Guards against requests, or cached parts of their prompts, that leave the home regions of their
 * route or workspace. The upstreams are in three regions and in a zone that is in no region.
 */
final class HomeRegionsTest {
  private static final ImmutableList<String> ZONES = ImmutableList.of("a", "b", "c", "unknown");

  private static final TopicPosition POSITION = new TopicPosition(1, 1);

  /** Longer than gateways take to learn of a new report. */
  private static final long REPORT_MILLIS = 1_000;

  private final DispatchSimulation fleet = new DispatchSimulation(1, 4, true);

  HomeRegionsTest() {
    IntStream.range(0, 4).forEach(i -> fleet.upstreams().get(i).setZone(ZONES.get(i)));
    fleet.advance(REPORT_MILLIS);
  }

  private static Route route(String prefix, RequestKind kind, ImmutableSet<String> homeRegions) {
    Route route = TestRoutes.route(prefix, kind, 2, 4_000, prefix.equals("/resume/"));
    return new Route(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        route.timeoutMillis(),
        route.objectiveMillis(),
        route.attempts(),
        route.priority(),
        route.isPublic(),
        route.isResumable(),
        route.services(),
        homeRegions);
  }

  private void confine(ImmutableSet<String> ofRoutes, ImmutableSet<String> ofWorkspace) {
    fleet.adopt(
        new RoutingConfig(
            2,
            RouteTable.of(
                ImmutableList.of(
                    route("/safe/", RequestKind.IDEMPOTENT, ofRoutes),
                    route("/once/", RequestKind.NON_IDEMPOTENT, ofRoutes),
                    route("/resume/", RequestKind.STREAM, ofRoutes))),
            ImmutableMap.of("s", new Service("s", 1_000, Optional.empty())),
            ImmutableMap.of("key", new Workspace("w", OptionalInt.empty(), ofWorkspace)),
            true,
            CallerLimits.INITIAL));
  }

  private List<Call> send(int count, String path) {
    List<Call> calls =
        IntStream.range(0, count)
            .mapToObj(i -> fleet.send(0, path, "body " + fleet.calls().size() + i))
            .toList();
    fleet.advance(2_000);
    return calls;
  }

  /** Returns the upstreams that got requests, by number. */
  private List<Integer> reached() {
    return IntStream.range(0, 4)
        .filter(i -> !fleet.upstreams().get(i).traffic().arrivals().isEmpty())
        .boxed()
        .toList();
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/once/x", "/resume/x"})
  void requestsStayInTheHomeRegionsOfTheirRoute(String path) {
    confine(ImmutableSet.of("r1", "r3"), ImmutableSet.of());
    assertThat(send(40, path).stream().filter(c -> c.status == 200).count()).isEqualTo(40);
    assertThat(reached()).containsExactly(0, 2);
  }

  @Test
  void homeRegionsOfRouteAndWorkspaceBothApply() {
    confine(ImmutableSet.of("r1", "r2"), ImmutableSet.of("r2", "r3"));
    assertThat(send(20, "/safe/x").stream().filter(c -> c.status == 200).count()).isEqualTo(20);
    assertThat(reached()).containsExactly(1);
  }

  @Test
  void requestWithoutAnUpstreamInItsHomeRegionsIsRefusedAtOnce() {
    confine(ImmutableSet.of("r1"), ImmutableSet.of("r2"));
    Call call = fleet.send(0, "/safe/x", "body");
    assertThat(call.status).isEqualTo(503);
    assertThat(call.text()).contains(Refusal.NONE_IN_HOME_REGIONS);
    assertThat(Double.parseDouble(call.headers.get("Retry-After"))).isGreaterThan(0);
  }

  /** Neither a retry nor a promise of room may lead out of the home regions. */
  @Test
  void failureInTheHomeRegionsLeadsToNoOther() {
    confine(ImmutableSet.of(), ImmutableSet.of("r1"));
    fleet
        .upstreams()
        .get(0)
        .setScript(id -> UpstreamBehavior.sends(new Write(1, UpstreamBehavior.refusal(id))));
    assertThat(send(10, "/safe/x").stream().filter(c -> c.status == 503).count()).isEqualTo(10);
    assertThat(reached()).containsExactly(0);
  }

  @Test
  void evacuationOfTheHomeRegionsLeadsToNoOther() {
    confine(ImmutableSet.of("r1"), ImmutableSet.of());
    fleet
        .dispatcher(0)
        .sharedUpstreamState()
        .evacuatedZones()
        .applySnapshot(ImmutableSet.of("a"), POSITION);
    assertThat(fleet.send(0, "/safe/x", "body").text()).contains(Refusal.UPSTREAMS_EVACUATED);
    assertThat(reached()).isEmpty();
  }

  @Test
  void cachedPartsAreFetchedOnlyFromTheHomeRegions() {
    Route route = route("/safe/", RequestKind.IDEMPOTENT, ImmutableSet.of("r1", "r2"));
    List<String> sources =
        new RequestUpstreams(fleet.dispatcher(0), "s", route, Optional.empty())
            .inHomeRegions().stream().map(u -> u.report().zone()).toList();
    assertThat(sources).containsExactly("a", "b");
  }
}
