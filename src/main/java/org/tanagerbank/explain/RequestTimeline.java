package org.tanagerbank.explain;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.logfile.LogLine;

/**
 * The log events of one request, with the state changes of the same processes that may have
 * affected it. Immutable.
 */
public final class RequestTimeline {
  /**
   * How long before the first event of a request the timeline starts. Recent state changes may
   * explain the outcome of a request; older ones affected all requests alike.
   */
  private static final Duration CONTEXT_BEFORE = Duration.ofSeconds(5);

  private static final String ENDED = "REQUEST_ENDED";
  private static final String REJECTED = "REQUEST_REJECTED";
  private static final String DROPPED = "LOG_LINES_DROPPED";

  /** Events that affect all requests of a process. */
  private static final ImmutableSet<String> PROCESS_EVENTS =
      ImmutableSet.of(
          "PROCESS_STARTED",
          "PROCESS_STOPPING",
          "PROCESS_STOPPED",
          "GATEWAY_READY",
          "GATEWAY_NOT_READY",
          "STORE_LOST",
          "STORE_REGAINED",
          "ROUTING_CONFIG_ADOPTED",
          "ROUTING_CONFIG_UNREADABLE",
          "PEER_LOST",
          DROPPED);

  /** Events that affect the requests at one upstream. */
  private static final ImmutableSet<String> UPSTREAM_EVENTS =
      ImmutableSet.of("UPSTREAM_FOUND", "UPSTREAM_DRAINING", "UPSTREAM_GONE");

  private final String requestId;
  private final ImmutableList<LogLine> requestLines;
  private final ImmutableList<LogLine> timelineLines;

  private RequestTimeline(
      String requestId, ImmutableList<LogLine> requestLines, ImmutableList<LogLine> timelineLines) {
    this.requestId = requestId;
    this.requestLines = requestLines;
    this.timelineLines = timelineLines;
  }

  /** Returns the timeline of a request, or empty if no line contains its id. */
  static Optional<RequestTimeline> of(String requestId, List<LogLine> lines) {
    ImmutableList<LogLine> requestLines =
        lines.stream()
            .filter(l -> l.concernsRequest(requestId))
            .sorted(Comparator.comparing(LogLine::time))
            .collect(toImmutableList());
    if (requestLines.isEmpty()) {
      return Optional.empty();
    }
    Instant from = requestLines.get(0).time().minus(CONTEXT_BEFORE);
    Instant to = requestLines.get(requestLines.size() - 1).time();
    ImmutableSet<String> processes =
        requestLines.stream().map(LogLine::process).collect(toImmutableSet());
    ImmutableSet<String> upstreams =
        requestLines.stream().map(l -> l.text("upstream")).collect(toImmutableSet());
    ImmutableList<LogLine> timelineLines =
        lines.stream()
            .filter(l -> processes.contains(l.process()))
            .filter(l -> !l.time().isBefore(from) && !l.time().isAfter(to))
            .filter(l -> l.concernsRequest(requestId) || mayAffect(l, upstreams))
            .sorted(Comparator.comparing(LogLine::time))
            .collect(toImmutableList());
    return Optional.of(new RequestTimeline(requestId, requestLines, timelineLines));
  }

  private static boolean mayAffect(LogLine line, ImmutableSet<String> upstreams) {
    return PROCESS_EVENTS.contains(line.name())
        || (UPSTREAM_EVENTS.contains(line.name()) && upstreams.contains(line.text("upstream")));
  }

  /**
   * Returns the timeline as lines of text, followed by the outcome.
   *
   * <p>An asterisk marks the events of the request itself. Times are relative to the first of them.
   */
  public ImmutableList<String> format() {
    ImmutableList.Builder<String> text = ImmutableList.builder();
    Instant start = requestLines.get(0).time();
    for (LogLine line : timelineLines) {
      String marker = line.concernsRequest(requestId) ? "*" : " ";
      text.add(
          String.format(
              "%s %+9.3f s  %s  %s  %s",
              marker, line.secondsAfter(start), line.process(), line.name(), fields(line)));
    }
    text.add(outcome());
    if (timelineLines.stream().anyMatch(l -> l.name().equals(DROPPED))) {
      text.add("incomplete: a process dropped log lines in this time");
    }
    return text.build();
  }

  private String fields(LogLine line) {
    StringBuilder text = new StringBuilder();
    line.fields()
        .fields()
        .forEachRemaining(
            f -> {
              boolean isRequestId = f.getKey().equals("request");
              text.append(isRequestId ? "" : f.getKey() + "=" + f.getValue().asText() + " ");
            });
    return text.toString().trim();
  }

  /** Returns a sentence that describes how the request ended. */
  public String outcome() {
    LogLine last = requestLines.get(requestLines.size() - 1);
    if (last.name().equals(REJECTED)) {
      return "rejected with status " + last.text("status") + ": " + last.text("reason");
    }
    if (!last.name().equals(ENDED)) {
      return "incomplete: no end of the request in these logs; the process was killed, dropped log"
          + " lines, or the log is cut off";
    }
    String attempts = ", after " + last.text("sent") + " attempts that failed";
    return last.text("status").equals("0")
        ? "ended without a whole response: " + last.text("reason") + attempts
        : "ended with status "
            + last.text("status")
            + " after "
            + last.text("millis")
            + " ms: "
            + last.text("reason")
            + attempts;
  }
}
