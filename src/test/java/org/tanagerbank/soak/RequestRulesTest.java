package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.soak.Interruptions.Span;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Response;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.ExpectedResponse;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/** Tests the promises on single requests. */
final class RequestRulesTest {
  private static final int TOKENS_PER_EVENT = 4;
  private static final RequestRules RULES =
      new RequestRules(Interruptions.none(), TOKENS_PER_EVENT);
  private static final String BODY = ExpectedResponse.plainBody("r", 300);
  private static final String EVENTS =
      ExpectedResponse.event("r", 1)
          + ExpectedResponse.event("r", 2)
          + ExpectedResponse.event("r", 3);

  private static ObservedRequest request(SoakRoute route, Response response) {
    return SoakSamples.request("r", 1_000, route, response);
  }

  private static RunRecord begun(long atMicros, String engine) {
    return SoakSamples.event(atMicros, engine, RunEvent.BEGAN, "r");
  }

  private static Response refusal(int status) {
    return new Response(Outcome.WHOLE, status, Map.of(), "", "");
  }

  private static Response success(Outcome outcome, String body) {
    return new Response(outcome, 200, SoakSamples.headers("r", 200), body, "");
  }

  private static List<Rule> broken(ObservedRequest request, RunRecord... events) {
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
    ObservedRequest request = request(SoakRoute.TWO_ATTEMPT_STREAM, success(Outcome.WHOLE, EVENTS));
    assertThat(broken(request, begun(1_100, "e-1"), begun(1_200, "e-2")))
        .containsExactly(Rule.TWICE);
  }

  /** Guards against success with a body that is not the upstream's whole body. */
  @Test
  void reportsOtherBodies() {
    assertThat(broken(request(SoakRoute.IDEMPOTENT, success(Outcome.WHOLE, BODY)))).isEmpty();
    for (String body : List.of("", BODY.substring(1), BODY.substring(0, 299), EVENTS)) {
      Response response = success(Outcome.WHOLE, body);
      assertThat(broken(request(SoakRoute.IDEMPOTENT, response))).containsExactly(Rule.MIXED);
    }
  }

  /** Guards against streams with a missing, repeated or foreign event. */
  @Test
  void reportsOtherEvents() {
    String first = ExpectedResponse.event("r", 1);
    String foreign = ExpectedResponse.event("other", 3);
    assertThat(broken(request(SoakRoute.RESUMABLE_STREAM, success(Outcome.WHOLE, EVENTS))))
        .isEmpty();
    for (String body : List.of("", first, EVENTS + foreign, first + EVENTS)) {
      Response response = success(Outcome.WHOLE, body);
      assertThat(broken(request(SoakRoute.RESUMABLE_STREAM, response))).containsExactly(Rule.MIXED);
    }
  }

  /** Guards against a check that finds fault with a response that its caller sees is cut off. */
  @Test
  void allowsResponseThatIsCutOff() {
    for (String body : List.of("", "30", "300 r", BODY)) {
      assertThat(broken(request(SoakRoute.IDEMPOTENT, success(Outcome.CUT_OFF, body)))).isEmpty();
    }
    Response foreign = success(Outcome.CUT_OFF, "300 other");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, foreign))).containsExactly(Rule.MIXED);
  }

  /** Guards against an answer that no upstream gave, and against that of another request. */
  @Test
  void reportsUnsignedAndForeignAnswers() {
    Response unsigned = new Response(Outcome.WHOLE, 200, Map.of(), BODY, "");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, unsigned))).containsExactly(Rule.MIXED);
    Response foreign = SoakSamples.response("other", 200, BODY);
    assertThat(broken(request(SoakRoute.IDEMPOTENT, foreign))).containsExactly(Rule.MIXED);
  }

  /** Guards against a signed failure whose status is not the upstream's. */
  @Test
  void reportsChangedStatusOfFailure() {
    Map<String, String> headers = SoakSamples.headers("r", 500);
    Response same = new Response(Outcome.WHOLE, 500, headers, "", "");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, same))).isEmpty();
    Response changed = new Response(Outcome.WHOLE, 504, headers, "", "");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, changed))).containsExactly(Rule.MIXED);
  }

  /** Guards against bytes on a connection that has no request waiting. */
  @Test
  void reportsUnsolicitedBytes() {
    Response response =
        new Response(Outcome.WHOLE, 200, SoakSamples.headers("r", 200), BODY, "HTTP");
    assertThat(broken(request(SoakRoute.IDEMPOTENT, response))).containsExactly(Rule.MIXED);
  }

  /** Guards against the rest of a body that is taken for another request. */
  @Test
  void reportsRunsThatNoCallerAskedFor() {
    ObservedRequest request = request(SoakRoute.IDEMPOTENT, success(Outcome.WHOLE, BODY));
    assertThat(broken(request, SoakSamples.event(1_100, "e-1", RunEvent.BEGAN, "smuggled")))
        .containsExactly(Rule.UNASKED);
    RunRecord changed =
        new RunRecord(
            1_100,
            "e-1",
            RunEvent.BEGAN,
            "r",
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            "GET 5 1");
    assertThat(broken(request, changed)).containsExactly(Rule.UNASKED);
  }

  private static List<Violation> checkRunsAtFourUpstreams(int requests, RequestRules rules) {
    List<ObservedRequest> observed =
        IntStream.range(0, requests)
            .mapToObj(i -> SoakSamples.request("r" + i, 1_000, SoakRoute.IDEMPOTENT, refusal(503)))
            .toList();
    List<RunRecord> events =
        observed.stream()
            .flatMap(
                r ->
                    Stream.of("e-1", "e-2", "e-3", "e-4")
                        .map(e -> SoakSamples.event(1_100, e, RunEvent.BEGAN, r.id())))
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
    RequestRules rules = new RequestRules(interruptions, TOKENS_PER_EVENT);
    assertThat(checkRunsAtFourUpstreams(4, rules)).isEmpty();
  }
}
