package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.tanagerbank.dispatch.PromiseCheck.PROMISES;
import static org.tanagerbank.dispatch.PromiseCheck.assertPromisesKept;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/**
 * Guards against a request that is answered "not run", or sent again, although it ran or runs:
 * after a refusal of another request or of none, after a refusal that contradicts itself, and on a
 * connection on which a response belonged to another request.
 */
final class ResponseProofTest {
  private static final String MARKER = "Not-Executed: 1\r\n";
  private static final String SIGNATURE = "Server-Stamp: s\r\n";

  private static String response(int status, String idHeader, String headers) {
    return "HTTP/1.1 " + status + " X\r\n" + idHeader + headers + "Content-Length: 0\r\n\r\n";
  }

  private static String id(String id) {
    return "Request-Id: " + id + "\r\n";
  }

  private static String refusal(String id) {
    return response(503, id(id), MARKER);
  }

  private static DispatchSimulation fleet(
      int upstreams, Function<String, UpstreamBehavior> script) {
    DispatchSimulation fleet = new DispatchSimulation(1, upstreams, true);
    fleet.upstreams().forEach(u -> u.setScript(script));
    return fleet;
  }

  private static long runsOf(DispatchSimulation fleet, Call call) {
    return fleet.runs().stream().filter(r -> r.requestId().equals(call.id)).count();
  }

  /** Responses that prove nothing about request r1, each with a short name. */
  static Stream<Arguments> misleadingResponses() {
    return Stream.of(
            new String[] {"refusal of another request", refusal("other")},
            new String[] {"refusal without id", response(503, "", MARKER)},
            new String[] {"refusal with two ids", response(503, id("r1") + id("other"), MARKER)},
            new String[] {"421 of another request", response(421, id("other"), "")},
            new String[] {"421 without id", response(421, "", MARKER)},
            new String[] {"429 of another request", response(429, id("other"), MARKER)},
            new String[] {"400 without id", response(400, "", MARKER)},
            new String[] {"success with marker", response(200, id("r1"), MARKER + SIGNATURE)},
            new String[] {"unsigned success with marker", response(200, id("r1"), MARKER)},
            new String[] {"500 with marker", response(500, id("r1"), MARKER)},
            new String[] {"504 with marker", response(504, id("r1"), MARKER)},
            new String[] {"408 with marker", response(408, id("r1"), MARKER)},
            new String[] {"signed refusal", response(503, id("r1"), MARKER + SIGNATURE)},
            new String[] {"signed 421", response(421, id("r1"), SIGNATURE)},
            new String[] {"503 without marker", response(503, id("r1"), "")},
            new String[] {"429 without marker", response(429, id("r1"), SIGNATURE)},
            new String[] {"408 without marker", response(408, id("r1"), "")})
        .flatMap(
            named ->
                Stream.of("/once/x", "/stream/x")
                    .map(path -> Arguments.of(named[0], path, named[1])));
  }

  @ParameterizedTest(name = "{0} to {1}")
  @MethodSource("misleadingResponses")
  void responseThatProvesNothingIsNoPromise(String name, String path, String response) {
    DispatchSimulation fleet =
        fleet(2, id -> UpstreamBehavior.runsAndSends(/* delayMillis= */ 5, response));
    Call call = fleet.send(0, path, name);
    fleet.advance(5_000);
    assertThat(call.isEnded).isTrue();
    assertThat(runsOf(fleet, call)).isEqualTo(1);
    assertThat(PROMISES).doesNotContain(call.status);
  }

  /** Upstreams send no encoded bodies, so such a body is not the upstream's. */
  @Test
  void encodedSuccessIsNotForwarded() {
    String encoded = response(200, id("r1"), SIGNATURE + "Content-Encoding: gzip\r\n");
    DispatchSimulation fleet = fleet(1, id -> UpstreamBehavior.runsAndOnlySends(5, encoded));
    Call call = fleet.send(0, "/once/x", "x");
    fleet.advance(100);
    assertThat(call.status).isEqualTo(502);
  }

  /** The upstream still answers the request, so waiting for that answer loses no work. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3})
  void answerAfterResponsesToOtherRequestsIsForwarded(int others) {
    DispatchSimulation fleet =
        fleet(1, id -> UpstreamBehavior.runsAndSends(5, refusal("other").repeat(others)));
    Call call = fleet.send(0, "/once/x", "x");
    fleet.advance(100);
    assertThat(call.status).isEqualTo(200);
    assertPromisesKept(fleet);
  }

  /** A second copy of each refusal arrives after the next request was sent on the connection. */
  @Test
  void doubledRefusalDoesNotShiftTheResponsesOfItsConnection() {
    DispatchSimulation fleet =
        fleet(
            1,
            id ->
                id.equals("r1")
                    ? UpstreamBehavior.sends(
                        new Write(1, refusal("r1")), new Write(10, refusal("r1")))
                    : UpstreamBehavior.NORMAL);
    Call refused = fleet.send(0, "/once/x", "x");
    fleet.advance(5);
    assertThat(refused.status).isEqualTo(503);
    for (int i = 0; i < 5; i++) {
      Call next = fleet.send(0, i % 2 == 0 ? "/once/x" : "/stream/x", "x" + i);
      fleet.advance(100);
      assertThat(next.status).isEqualTo(200);
    }
    assertPromisesKept(fleet);
  }

  @Test
  void connectionIsNotReusedAfterResponseToAnotherRequest() {
    DispatchSimulation fleet =
        fleet(
            1,
            id ->
                id.equals("r1")
                    ? UpstreamBehavior.runsAndSends(5, refusal("other"))
                    : UpstreamBehavior.NORMAL);
    fleet.send(0, "/once/x", "x");
    fleet.advance(100);
    assertThat(fleet.upstreams().get(0).openConnections()).isEqualTo(0);
    fleet.send(0, "/once/x", "y");
    fleet.advance(100);
    assertThat(fleet.upstreams().get(0).openConnections()).isEqualTo(1);
    assertThat(fleet.calls().stream().map(c -> c.status).toList()).containsExactly(200, 200);
  }

  /** The true refusal must still be a promise, or callers could not send the request again. */
  @ParameterizedTest
  @ValueSource(ints = {400, 421, 429, 503})
  void refusalOfTheRequestIsPromised(int status) {
    DispatchSimulation fleet =
        fleet(1, id -> UpstreamBehavior.sends(new Write(1, response(status, id(id), MARKER))));
    Call call = fleet.send(0, "/once/x", "x");
    fleet.advance(100);
    assertThat(call.status).isEqualTo(503);
    assertThat(fleet.upstreams().get(0).openConnections()).isEqualTo(1);
  }

  @Test
  void misdirectedRequestIsReportedAsNotRunWithoutMarker() {
    DispatchSimulation fleet =
        fleet(1, id -> UpstreamBehavior.sends(new Write(1, response(421, id(id), ""))));
    Call call = fleet.send(0, "/once/x", "x");
    fleet.advance(100);
    assertThat(call.status).isEqualTo(503);
  }

  /** Each request has a fleet of its own, because one that starts allows few retries at first. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5})
  void refusedRequestRunsAtAnotherUpstream(int content) {
    DispatchSimulation fleet = new DispatchSimulation(1, 2, true);
    AtomicInteger arrivals = new AtomicInteger();
    Function<String, UpstreamBehavior> firstRefuses =
        id -> arrivals.getAndIncrement() == 0 ? refuse(id, 1) : UpstreamBehavior.NORMAL;
    fleet.upstreams().forEach(u -> u.setScript(firstRefuses));
    Call call = fleet.send(0, "/once/x", "x" + content);
    fleet.advance(60);
    assertThat(call.status).isEqualTo(200);
    assertThat(arrivals.get()).isEqualTo(2);
    assertPromisesKept(fleet);
  }

  private static UpstreamBehavior refuse(String id, long delayMillis) {
    return UpstreamBehavior.sends(new Write(delayMillis, refusal(id)));
  }

  /** A request without id cannot be told from others, so no response can be matched to it. */
  @Test
  void requestWithoutIdIsRejectedAndNotSent() {
    DispatchSimulation fleet = fleet(1, id -> refuse(id, 1));
    Call call = fleet.sendWithId(0, "/once/x", "x", "");
    assertThat(call.status).isEqualTo(400);
    fleet.advance(100);
    assertThat(fleet.upstreams().get(0).openConnections()).isEqualTo(0);
  }

  /**
   * An engine that preempts a request and puts it back into its queue refuses it when its time
   * budget is over, although it began to run it.
   */
  @Test
  void refusalAtTheEndOfTheTimeBudgetIsNoPromise() {
    DispatchSimulation fleet =
        fleet(
            2,
            id ->
                UpstreamBehavior.runsAndOnlySends(
                    DispatchSimulation.ROUTE_TIMEOUT_MILLIS - 5, refusal(id)));
    Call call = fleet.send(0, "/stream/x", "x");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 100);
    assertThat(call.status).isEqualTo(504);
    assertThat(runsOf(fleet, call)).isEqualTo(1);
  }

  /** The time limit ends while the request waits for a connection after its refusal. */
  @Test
  void timeLimitAfterARefusalIsNoPromise() {
    DispatchSimulation fleet = new DispatchSimulation(1, 2, true);
    fleet.upstreams().get(0).setScript(id -> refuse(id, 1));
    fleet.upstreams().get(1).holdConnections(true);
    Call call = fleet.send(0, "/once/x", "x");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 100);
    assertThat(call.status).isEqualTo(504);
  }

  /** A connection that opens after the time limit must not carry the request any more. */
  @Test
  void requestRefusedBeforeItsConnectionOpensIsNotSent() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    SimulatedUpstream upstream = fleet.upstreams().get(0);
    upstream.holdConnections(true);
    Call call = fleet.send(0, "/once/x", "x");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 100);
    assertThat(call.status).isEqualTo(503);
    upstream.holdConnections(false);
    fleet.advance(200);
    assertPromisesKept(fleet);
    assertThat(fleet.runs()).isEmpty();
    assertThat(upstream.openConnections()).isEqualTo(0);
  }

  /** Upstreams refuse, run, and send extra responses at random moments. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void promisesAreKeptAmongExtraResponses(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DispatchSimulation fleet = new DispatchSimulation(2, 3, true);
    fleet.upstreams().forEach(u -> u.setScript(id -> randomBehavior(id, random)));
    List<String> paths = List.of("/once/x", "/stream/x", "/safe/x");
    for (int i = 0; i < 1_000; i++) {
      fleet.send(random.nextInt(2), paths.get(random.nextInt(3)), "x" + i);
      fleet.advance(random.nextInt(20));
    }
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 100);
    assertPromisesKept(fleet);
    assertThat(fleet.calls().stream().filter(c -> !c.isEnded).toList()).isEmpty();
    assertThat(fleet.calls().stream().filter(c -> c.status == 200).count()).isAtLeast(600);
  }

  private static UpstreamBehavior randomBehavior(String id, SplittableRandom random) {
    Write own = new Write(random.nextInt(3), refusal(id));
    Write late = new Write(random.nextInt(60), random.nextBoolean() ? refusal(id) : refusal("z"));
    return switch (random.nextInt(10)) {
      case 0 -> UpstreamBehavior.sends(own);
      case 1, 2 -> UpstreamBehavior.sends(own, late);
      case 3 -> UpstreamBehavior.runsAndSends(random.nextInt(60), refusal("z"));
      case 4 -> UpstreamBehavior.runsAndSends(random.nextInt(60), response(503, "", MARKER));
      default -> UpstreamBehavior.NORMAL;
    };
  }
}
