package org.tanagerbank.soak;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.joining;
import static java.util.stream.Collectors.toMap;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Response;
import org.tanagerbank.soak.Violation.Rule;
import org.tanagerbank.standin.direct.ExpectedResponse;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/**
 * Checks the promises on single requests, from what callers saw and engines recorded. Immutable and
 * thread-safe.
 *
 * @param tokensPerEvent the number of tokens in an event of a stream
 */
record RequestRules(Interruptions interruptions, int tokensPerEvent) {
  private static final String SIGNATURE = "server-stamp";
  private static final String REQUEST_ID = "request-id";
  private static final int SHOWN_CHARACTERS = 200;
  private static final int MAX_REQUESTS_WITH_EXTRA_UPSTREAMS = 3;

  /** A request with the events of its runs, in the order of their times. */
  private record Case(ObservedRequest request, List<RunRecord> events) {
    List<RunRecord> begun() {
      return events.stream().filter(e -> e.event() == RunEvent.BEGAN).toList();
    }

    Violation violation(Rule rule, String text) {
      return new Violation(rule, text + ": " + request.describe() + ", engines " + events);
    }
  }

  List<Violation> check(List<ObservedRequest> requests, List<RunRecord> events) {
    Map<String, List<RunRecord>> eventsByRequest =
        events.stream().collect(groupingBy(RunRecord::request));
    List<Case> cases =
        requests.stream()
            .map(r -> new Case(r, eventsByRequest.getOrDefault(r.id(), List.of())))
            .toList();
    ImmutableList.Builder<Violation> violations = ImmutableList.builder();
    cases.forEach(
        c ->
            Stream.of(refused(c), ranTwice(c), mixed(c))
                .flatMap(Optional::stream)
                .forEach(violations::add));
    violations.addAll(extraUpstreams(cases));
    unasked(requests, events).forEach(violations::add);
    return violations.build();
  }

  private static Optional<Violation> refused(Case c) {
    boolean isBroken =
        !c.request().route().isIdempotent() && c.request().isRefused() && !c.begun().isEmpty();
    return isBroken
        ? Optional.of(c.violation(Rule.REFUSED, "answered as not run, but it ran"))
        : Optional.empty();
  }

  private static Optional<Violation> ranTwice(Case c) {
    boolean isBroken = !c.request().route().isIdempotent() && c.begun().size() > 1;
    return isBroken
        ? Optional.of(c.violation(Rule.TWICE, "ran " + c.begun().size() + " times"))
        : Optional.empty();
  }

  private Optional<Violation> mixed(Case c) {
    Response response = c.request().response();
    if (!response.unsolicited().isEmpty()) {
      String text = "bytes before the request was sent: " + response.unsolicited();
      return Optional.of(c.violation(Rule.MIXED, text));
    }
    boolean isSuccess = response.status() / 100 == 2;
    Optional<String> fault = isSuccess ? successFault(c) : failureFault(c);
    return fault.map(text -> c.violation(Rule.MIXED, text));
  }

  private Optional<String> successFault(Case c) {
    ObservedRequest request = c.request();
    Response response = request.response();
    if (!response.headers().containsKey(SIGNATURE)) {
      return Optional.of("success without the signature of an upstream");
    }
    if (!hasOwnHeaders(request)) {
      return Optional.of("answer to another request");
    }
    String expected = expectedBody(request);
    boolean isWhole = response.outcome() == Outcome.WHOLE;
    boolean isExpected =
        isWhole ? response.body().equals(expected) : expected.startsWith(response.body());
    return isExpected
        ? Optional.empty()
        : Optional.of("the body differs from the upstream's: " + head(response.body()));
  }

  private static Optional<String> failureFault(Case c) {
    return hasOwnHeaders(c.request())
        ? Optional.empty()
        : Optional.of("answer to another request, or with another status than the upstream's");
  }

  /**
   * Returns whether the response names no other request, and no other status where it is signed.
   */
  private static boolean hasOwnHeaders(ObservedRequest request) {
    Map<String, String> headers = request.response().headers();
    String signature = ExpectedResponse.signature(request.id(), request.response().status());
    return headers.getOrDefault(REQUEST_ID, request.id()).equals(request.id())
        && headers.getOrDefault(SIGNATURE, signature).equals(signature);
  }

  /** Returns the whole body of the successful response to a request. */
  private String expectedBody(ObservedRequest request) {
    if (request.route().isStream()) {
      long events = ExpectedResponse.eventCount(request.outputTokens(), tokensPerEvent);
      return LongStream.rangeClosed(1, events)
          .mapToObj(n -> ExpectedResponse.event(request.id(), n))
          .collect(joining());
    }
    // The body begins with its length, which engines draw.
    String body = request.response().body();
    if (request.response().outcome() == Outcome.WHOLE) {
      return ExpectedResponse.plainBody(request.id(), Math.max(1, body.length()));
    }
    Integer length = Ints.tryParse(body.substring(0, Math.max(0, body.indexOf(' '))));
    return length == null ? body : ExpectedResponse.plainBody(request.id(), length);
  }

  private static String head(String text) {
    return text.substring(0, Math.min(SHOWN_CHARACTERS, text.length()));
  }

  private static Stream<Violation> unasked(List<ObservedRequest> requests, List<RunRecord> events) {
    Map<String, String> contents =
        requests.stream().collect(toMap(ObservedRequest::id, ObservedRequest::content));
    return events.stream()
        .filter(e -> e.event() == RunEvent.BEGAN)
        .filter(e -> !e.detail().equals(contents.get(e.request())))
        .map(e -> new Violation(Rule.UNASKED, e + ", sent " + contents.get(e.request())));
  }

  /** Returns the requests that ran at too many upstreams, if there are more than a few. */
  private List<Violation> extraUpstreams(List<Case> cases) {
    List<Violation> violations =
        cases.stream()
            .filter(c -> upstreams(c) > c.request().route().attempts())
            .map(c -> c.violation(Rule.ATTEMPTS, "ran at " + upstreams(c) + " upstreams"))
            .toList();
    return violations.size() > MAX_REQUESTS_WITH_EXTRA_UPSTREAMS ? violations : List.of();
  }

  /** Counts the engines that began a request; those ended or cut off meanwhile do not count. */
  private long upstreams(Case c) {
    ObservedRequest request = c.request();
    return c.begun().stream()
        .map(RunRecord::engine)
        .distinct()
        .filter(
            e -> !interruptions.wasEngineCutOff(e, request.sentAtMicros(), request.endedAtMicros()))
        .count();
  }
}
