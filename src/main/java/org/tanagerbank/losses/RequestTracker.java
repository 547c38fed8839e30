package org.tanagerbank.losses;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.logfile.LogLine;

/**
 * Finds out from the events of gateways how each request ended and why.
 *
 * <p>The events of one process must come in their order; processes may be mixed. Memory is bounded:
 * of the requests that have not ended, the oldest make room. Not thread-safe.
 */
final class RequestTracker {
  private static final int MAX_OPEN_REQUESTS = 20_000;

  /** The time after its start for which a gateway is slow, because its code is not compiled yet. */
  private static final Duration START_PERIOD = Duration.ofSeconds(3);

  /** A shorter time between arrival and placement is not worth a cause of its own. */
  private static final long MIN_WAIT_MILLIS = 100;

  /** Fewer tokens are read within a few milliseconds. */
  private static final long MIN_COLD_TOKENS = 1_000;

  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  /** A request that was placed; later attempts replace the earlier ones. */
  private record Placement(
      Instant firstPlacedAt, String route, long uncachedTokens, boolean hasFailed) {}

  /** What is known of a process. */
  private static final class Process {
    private Instant startedAt = Instant.MIN;
    private String lastEnded = "";
    private final Map<String, Placement> open =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Placement> eldest) {
            return size() > MAX_OPEN_REQUESTS;
          }
        };
  }

  private final Consumer<EndedRequest> sink;
  private final Map<String, Process> processes = new HashMap<>();
  private long notOwed;

  /**
   * Creates a tracker.
   *
   * @param sink receives each request whose end is known
   */
  RequestTracker(Consumer<EndedRequest> sink) {
    this.sink = sink;
  }

  /** Returns the number of requests that were rightly turned away, such as those without a key. */
  long notOwed() {
    return notOwed;
  }

  /** Returns the number of requests whose end was not logged by processes that went on. */
  long unfinished() {
    return processes.values().stream().mapToLong(p -> p.open.size()).sum();
  }

  void accept(LogLine line) {
    Process process = processes.computeIfAbsent(line.process(), unused -> new Process());
    switch (line.name()) {
      case "PROCESS_STARTED" -> onStarted(process, line);
      case "REQUEST_PLACED" -> onPlaced(process, line);
      case "REQUEST_ATTEMPT_FAILED" -> onAttemptFailed(process, line);
      case "REQUEST_ENDED" -> onEnded(process, line);
      case "REQUEST_REJECTED" -> onRejected(process, line);
      default -> {}
    }
  }

  private void onStarted(Process process, LogLine line) {
    process
        .open
        .values()
        .forEach(p -> emit(p.firstPlacedAt(), p.route(), Outcome.FAILED, Cause.GATEWAY_LOST));
    process.open.clear();
    process.startedAt = line.time();
  }

  private static void onPlaced(Process process, LogLine line) {
    Placement previous = process.open.get(line.text("request"));
    Placement placement =
        new Placement(
            previous == null ? line.time() : previous.firstPlacedAt(),
            line.text("route"),
            line.number("freshTokens", 0),
            previous != null && previous.hasFailed());
    process.open.put(line.text("request"), placement);
  }

  private static void onAttemptFailed(Process process, LogLine line) {
    process.open.computeIfPresent(
        line.text("request"),
        (id, p) -> new Placement(p.firstPlacedAt(), p.route(), p.uncachedTokens(), true));
  }

  private void onEnded(Process process, LogLine line) {
    String id = line.text("request");
    process.lastEnded = id;
    Instant receivedAt = line.time().minusMillis(line.number("millis", 0));
    Placement placement = process.open.remove(id);
    Optional<Outcome> outcome = outcome(line);
    if (outcome.isPresent()) {
      Cause cause = cause(process, line, placement, receivedAt, outcome.get());
      emit(receivedAt, route(line, placement), outcome.get(), cause);
    } else {
      notOwed++;
    }
  }

  /** Returns the route of a request; older logs name it only when the request is placed. */
  private static String route(LogLine ended, Placement placement) {
    if (!ended.text("route").isEmpty()) {
      return ended.text("route");
    }
    return placement == null ? EndedRequest.NO_ROUTE : placement.route();
  }

  /** Handles a request that was refused before it was executed; others have ended already. */
  private void onRejected(Process process, LogLine line) {
    String id = line.text("request");
    if (!id.isEmpty() && id.equals(process.lastEnded)) {
      return;
    }
    if (isRefusal(line.number("status", 0))) {
      Cause cause = isStarting(process, line.time()) ? Cause.START : Cause.REFUSAL;
      emit(line.time(), EndedRequest.NO_ROUTE, Outcome.REFUSED, cause);
    } else {
      notOwed++;
    }
  }

  private void emit(Instant receivedAt, String route, Outcome outcome, Cause cause) {
    sink.accept(new EndedRequest(receivedAt, route, outcome, cause));
  }

  /** Returns the outcome of a request, or empty if it was rightly turned away. */
  private static Optional<Outcome> outcome(LogLine line) {
    long status = line.number("status", 0);
    if (line.text("reason").equals("caller gone")) {
      return Optional.of(Outcome.GIVEN_UP);
    }
    if (isRefusal(status)) {
      return Optional.of(Outcome.REFUSED);
    }
    if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR) {
      return Optional.empty();
    }
    if (status == 0 || status >= FIRST_SERVER_ERROR) {
      return Optional.of(Outcome.FAILED);
    }
    long objective = line.number("objectiveMillis", Long.MAX_VALUE);
    boolean isLate = line.number("firstMillis", 0) > objective;
    return Optional.of(isLate ? Outcome.LATE : Outcome.IN_TIME);
  }

  private static boolean isRefusal(long status) {
    return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
  }

  private static boolean isStarting(Process process, Instant at) {
    return !process.startedAt.equals(Instant.MIN)
        && at.isBefore(process.startedAt.plus(START_PERIOD));
  }

  private static Cause cause(
      Process process, LogLine line, Placement placement, Instant receivedAt, Outcome outcome) {
    return switch (outcome) {
      case IN_TIME -> Cause.NONE;
      case FAILED -> failure(line);
      case REFUSED -> isStarting(process, receivedAt) ? Cause.START : Cause.REFUSAL;
      case LATE, GIVEN_UP -> delay(process, placement, receivedAt);
    };
  }

  private static Cause failure(LogLine line) {
    long status = line.number("status", 0);
    if (status == 0) {
      return Cause.BROKEN_OFF;
    }
    if (status == STATUS_GATEWAY_TIMEOUT) {
      return Cause.TIME_LIMIT;
    }
    return status == STATUS_BAD_GATEWAY ? Cause.UPSTREAM_LOST : Cause.UPSTREAM_ERROR;
  }

  private static Cause delay(Process process, Placement placement, Instant receivedAt) {
    if (isStarting(process, receivedAt)) {
      return Cause.START;
    }
    if (placement == null) {
      return Cause.WAIT;
    }
    if (placement.hasFailed()) {
      return Cause.ATTEMPT_FAILED;
    }
    long waitedMillis = Duration.between(receivedAt, placement.firstPlacedAt()).toMillis();
    if (waitedMillis >= MIN_WAIT_MILLIS) {
      return Cause.WAIT;
    }
    return placement.uncachedTokens() >= MIN_COLD_TOKENS ? Cause.COLD_PROMPT : Cause.SLOW_UPSTREAM;
  }
}
