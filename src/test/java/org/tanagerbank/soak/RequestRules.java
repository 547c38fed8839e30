package org.tanagerbank.soak;

import static java.util.stream.Collectors.groupingBy;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.tanagerbank.soak.EngineEvent.Kind;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Response;
import org.tanagerbank.soak.Violation.Rule;

/**
 * Checks the promises on single requests, from what callers saw and engines recorded. Immutable and
 * thread-safe.
 *
 * @param expectedBody returns the whole body of the successful response to a request
 */
record RequestRules(Interruptions interruptions, Function<ObservedRequest, String> expectedBody) {
  private static final String SIGNATURE = "server-stamp";
  private static final int MAX_REQUESTS_WITH_EXTRA_UPSTREAMS = 3;

  /** A request with the events of its runs, in the order of their times. */
  private record Case(ObservedRequest request, List<EngineEvent> events) {
    List<EngineEvent> begun() {
      return events.stream().filter(e -> e.kind() == Kind.BEGAN).toList();
    }

    /** Returns whether an upstream answered the request with the status that the caller got. */
    boolean hasUpstreamStatus() {
      return events.stream().anyMatch(e -> e.status() == request.response().status());
    }

    Violation violation(Rule rule, String text) {
      return new Violation(rule, text + ": " + request.describe() + ", engines " + events);
    }
  }

  List<Violation> check(List<ObservedRequest> requests, List<EngineEvent> events) {
    Map<String, List<EngineEvent>> eventsByRequest =
        events.stream().collect(groupingBy(EngineEvent::request));
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
    Response response = c.request().response();
    if (!response.headers().containsKey(SIGNATURE)) {
      return Optional.of("success without the signature of an upstream");
    }
    if (!hasOwnId(c.request())) {
      return Optional.of("answer to another request");
    }
    String expected = expectedBody.apply(c.request());
    boolean isWhole = response.outcome() == Outcome.WHOLE;
    if (isWhole && !response.body().equals(expected)) {
      return Optional.of("the body differs from the upstream's: " + head(response.body()));
    }
    if (!expected.startsWith(response.body())) {
      return Optional.of("bytes that the upstream did not send: " + head(response.body()));
    }
    return Optional.empty();
  }

  private static Optional<String> failureFault(Case c) {
    Response response = c.request().response();
    if (response.headers().containsKey(SIGNATURE) && !c.hasUpstreamStatus()) {
      return Optional.of("a failure with a signature but another status than the upstream's");
    }
    return response.headers().isEmpty() || hasOwnId(c.request())
        ? Optional.empty()
        : Optional.of("answer to another request");
  }

  /** Returns whether the response names no other request. */
  private static boolean hasOwnId(ObservedRequest request) {
    return request
        .response()
        .headers()
        .getOrDefault("request-id", request.id())
        .equals(request.id());
  }

  private static String head(String text) {
    return text.substring(0, Math.min(200, text.length()));
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
        .map(EngineEvent::engine)
        .distinct()
        .filter(
            e -> !interruptions.wasEngineCutOff(e, request.sentAtMicros(), request.endedAtMicros()))
        .count();
  }
}
