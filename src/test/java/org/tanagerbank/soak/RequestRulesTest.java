package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.soak.EngineEvent.Kind;
import org.tanagerbank.soak.Interruptions.Span;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Response;
import org.tanagerbank.soak.Violation.Rule;

/** Tests the promises on single requests. */
final class RequestRulesTest {
  private static final String BODY = "the whole body";
  private static final RequestRules RULES = new RequestRules(Interruptions.none(), r -> BODY);

  private static ObservedRequest request(SoakRoute route, Response response) {
    return SoakSamples.request("r", 1_000, route, response);
  }

  private static EngineEvent begun(long atMicros, String engine) {
    return SoakSamples.event(atMicros, engine, Kind.BEGAN, "r");
  }

  private static EngineEvent ended(int status) {
    return SoakSamples.event(1_200, "e-1", Kind.ENDED, "r", status, OptionalLong.empty());
  }

  private static Response refusal(int status) {
    return new Response(Outcome.WHOLE, status, Map.of(), "", "");
  }

  private static List<Rule> broken(ObservedRequest request, EngineEvent... events) {
    return RULES.check(List.of(request), List.of(events)).stream().map(Violation::rule).toList();
  }

  /** Guards against a refusal of another request that is taken for this one's. */
  @ParameterizedTest
  @ValueSource(ints = {408, 421, 429, 503})
  void reportsRefusalOfRequestThatRan(int status) {
    ObservedRequest request = request(SoakRoute.ONE_ATTEMPT_STREAM, refusal(status));
    assertThat(broken(request, begun(1_100, "e-1"))).containsExactly(Rule.REFUSED);
    assertThat(broken(request)).isEmpty();
  }

  /** Guards against a request that is refused while it still waits, and begins later. */
  @Test
  void reportsRefusalOfRequestThatRunsLater() {
    ObservedRequest request = request(SoakRoute.NON_IDEMPOTENT, refusal(503));
    assertThat(broken(request, begun(99_000_000, "e-1"))).containsExactly(Rule.REFUSED);
  }

  /** Guards against a check that applies to requests that may run again. */
  @Test
  void allowsRefusalAndRepetitionOfIdempotentRequests() {
    for (SoakRoute route : List.of(SoakRoute.IDEMPOTENT, SoakRoute.RESUMABLE_STREAM)) {
      ObservedRequest request = request(route, refusal(503));
      assertThat(broken(request, begun(1_100, "e-1"), begun(1_200, "e-2"))).isEmpty();
    }
  }

  /** Guards against a request that is sent again although it may have run. */
  @Test
  void reportsSecondRun() {
    ObservedRequest request =
        request(SoakRoute.TWO_ATTEMPT_STREAM, SoakSamples.response(200, BODY));
    assertThat(broken(request, begun(1_100, "e-1"), begun(1_200, "e-2")))
        .containsExactly(Rule.TWICE);
  }

  /** Guards against success with a body that is not the upstream's whole body. */
  @Test
  void reportsOtherBodies() {
    for (String body : List.of("", "the whole", "another body")) {
      Response response = SoakSamples.response(200, body);
      assertThat(broken(request(SoakRoute.IDEMPOTENT, response))).containsExactly(Rule.MIXED);
    }
  }

  /** Guards against a check that finds fault with a response that its caller sees is cut off. */
  @Test
  void allowsResponseThatIsCutOff() {
    Map<String, String> headers = Map.of("server-stamp", "s");
    Response cutOff = new Response(Outcome.CUT_OFF, 200, headers, "the whole", "");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, cutOff))).isEmpty();
    Response foreign = new Response(Outcome.CUT_OFF, 200, headers, "another", "");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, foreign))).containsExactly(Rule.MIXED);
  }

  /** Guards against an answer that no upstream gave, and against that of another request. */
  @Test
  void reportsUnsignedAndForeignAnswers() {
    Response unsigned = new Response(Outcome.WHOLE, 200, Map.of(), BODY, "");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, unsigned))).containsExactly(Rule.MIXED);
    Map<String, String> foreignId = Map.of("server-stamp", "s", "request-id", "other");
    Response foreign = new Response(Outcome.WHOLE, 200, foreignId, BODY, "");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, foreign))).containsExactly(Rule.MIXED);
  }

  /** Guards against a signed failure whose status is not the upstream's. */
  @Test
  void reportsChangedStatusOfFailure() {
    ObservedRequest request = request(SoakRoute.IDEMPOTENT, SoakSamples.response(500, ""));
    assertThat(broken(request, ended(500))).isEmpty();
    assertThat(broken(request, ended(504))).containsExactly(Rule.MIXED);
  }

  /** Guards against bytes on a connection that has no request waiting. */
  @Test
  void reportsUnsolicitedBytes() {
    Response response = new Response(Outcome.WHOLE, 200, Map.of("server-stamp", "s"), BODY, "HTTP");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, response))).containsExactly(Rule.MIXED);
  }

  private static List<Violation> checkRunsAtFourUpstreams(int requests, RequestRules rules) {
    List<ObservedRequest> observed =
        IntStream.range(0, requests)
            .mapToObj(
                i ->
                    SoakSamples.request(
                        "r" + i, 1_000, SoakRoute.IDEMPOTENT, SoakSamples.response(200, BODY)))
            .toList();
    List<EngineEvent> events =
        observed.stream()
            .flatMap(
                r ->
                    Stream.of("e-1", "e-2", "e-3", "e-4")
                        .map(e -> SoakSamples.event(1_100, e, Kind.BEGAN, r.id())))
            .toList();
    return rules.check(observed, events);
  }

  /** Guards against requests that run at more upstreams than their route allows. */
  @Test
  void reportsMoreThanThreeRequestsAtTooManyUpstreams() {
    assertThat(checkRunsAtFourUpstreams(3, RULES)).isEmpty();
    assertThat(checkRunsAtFourUpstreams(4, RULES)).hasSize(4);
  }

  /** Guards against counting upstreams that ended meanwhile. */
  @Test
  void doesNotCountUpstreamsThatEnded() {
    Interruptions interruptions =
        new Interruptions(
            ImmutableListMultimap.of(),
            ImmutableList.of(),
            ImmutableListMultimap.of("e-2", new Span(1_500, 5_000)));
    RequestRules rules = new RequestRules(interruptions, r -> BODY);
    assertThat(checkRunsAtFourUpstreams(4, rules)).isEmpty();
  }
}
