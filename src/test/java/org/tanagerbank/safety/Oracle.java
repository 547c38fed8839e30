package org.tanagerbank.safety;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;

/**
 * The test oracle: records which requests the engines ran and which responses the callers got, and
 * finds violations of the safety guarantees. Not thread-safe.
 */
final class Oracle {
  /**
   * One run of a request by an engine.
   *
   * @param serial the number of the run, counted from 1; it makes the run's answer unique
   */
  record Execution(int serial, RequestId requestId, SimulatedRequest.RequestSpec spec) {
    /** Returns the complete answer that this run produces. */
    ByteString answer() {
      String head = "[" + spec.body() + "." + serial + "]";
      return ByteString.copyFromUtf8(head.repeat(2 + spec.body() % 3));
    }
  }

  private final List<Execution> executions = new ArrayList<>();
  private final List<SimulatedRequest> requests = new ArrayList<>();

  /** Records that an engine starts to run a request. */
  Execution recordExecution(RequestId requestId, SimulatedRequest.RequestSpec spec) {
    Execution execution = new Execution(executions.size() + 1, requestId, spec);
    executions.add(execution);
    return execution;
  }

  void recordRequest(SimulatedRequest request) {
    requests.add(request);
  }

  List<SimulatedRequest> requests() {
    return requests;
  }

  /** Returns a description of the first violated guarantee, or empty if all guarantees hold. */
  Optional<String> findViolation() {
    return requests.stream().flatMap(request -> checkRequest(request).stream()).findFirst();
  }

  private Optional<String> checkRequest(SimulatedRequest request) {
    boolean hasKey = !request.spec.key().isEmpty();
    long ownRuns = executions.stream().filter(e -> e.requestId().equals(request.id)).count();
    long keyRuns =
        executions.stream().filter(e -> e.spec().key().equals(request.spec.key())).count();
    if (request.spec.nonIdempotent() && (hasKey ? keyRuns : ownRuns) > 1) {
      return violation(
          request, "ran " + (hasKey ? keyRuns : ownRuns) + " times, expected at most 1");
    }
    boolean reportedNotRun = request.error != null && request.error.verdict() == Verdict.NOT_RUN;
    if (reportedNotRun && ownRuns > 0) {
      return violation(request, "was reported as NOT_RUN but ran");
    }
    // Requests with the same key and body count as one request, however often they are sent.
    boolean isBoundByKey = request.spec.keyKind() != SimulatedRequest.KeyKind.NONE;
    if (reportedNotRun
        && isBoundByKey
        && executions.stream().anyMatch(e -> hasSameKeyAndBody(e, request))) {
      return violation(
          request, "was reported as NOT_RUN but a request with the same key and body ran");
    }
    if (request.succeeded && executions.stream().noneMatch(e -> producedResponseOf(e, request))) {
      return violation(
          request,
          "got a response that no run of this request produced: "
              + request.receivedBody.toStringUtf8());
    }
    return Optional.empty();
  }

  private static boolean hasSameKeyAndBody(Execution e, SimulatedRequest request) {
    return e.spec().key().equals(request.spec.key()) && e.spec().body() == request.spec.body();
  }

  private static boolean producedResponseOf(Execution e, SimulatedRequest request) {
    boolean sameKey = e.spec().key().equals(request.spec.key());
    boolean sameRequest =
        e.requestId().equals(request.id) || (sameKey && !request.spec.key().isEmpty());
    return sameRequest
        && e.spec().body() == request.spec.body()
        && e.answer().equals(request.receivedBody);
  }

  private Optional<String> violation(SimulatedRequest request, String description) {
    return Optional.of(request + ": " + description + "; executions " + executions);
  }
}
