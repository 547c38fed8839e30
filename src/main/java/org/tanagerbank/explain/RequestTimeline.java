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

/**
 * What processes logged about one request, with the changes of their beliefs that may have decided
 * it. Immutable.
 */
public final class RequestTimeline {
  /** Changes shortly before a request decide it; older ones are what all requests met. */
  private static final Duration BEFORE = Duration.ofSeconds(5);

  private static final String ENDED = "REQUEST_ENDED";
  private static final String REJECTED = "REQUEST_REJECTED";
  private static final String DROPPED = "LOG_LINES_DROPPED";

  /** Events that concern all requests of a process. */
  private static final ImmutableSet<String> OF_THE_PROCESS =
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

  /** Events that concern the requests at one upstream. */
  private static final ImmutableSet<String> OF_AN_UPSTREAM =
      ImmutableSet.of("UPSTREAM_FOUND", "UPSTREAM_DRAINING", "UPSTREAM_GONE");

  private final String requestId;
  private final ImmutableList<LogLine> own;
  private final ImmutableList<LogLine> all;

  private RequestTimeline(
      String requestId, ImmutableList<LogLine> own, ImmutableList<LogLine> all) {
    this.requestId = requestId;
    this.own = own;
    this.all = all;
  }

  /** Returns the timeline of a request, or nothing when no line names it. */
  static Optional<RequestTimeline> of(String requestId, List<LogLine> lines) {
    ImmutableList<LogLine> own =
        lines.stream()
            .filter(l -> l.concerns(requestId))
            .sorted(Comparator.comparing(LogLine::time))
            .collect(toImmutableList());
    if (own.isEmpty()) {
      return Optional.empty();
    }
    Instant from = own.get(0).time().minus(BEFORE);
    Instant to = own.get(own.size() - 1).time();
    ImmutableSet<String> processes = own.stream().map(LogLine::process).collect(toImmutableSet());
    ImmutableSet<String> upstreams =
        own.stream().map(l -> l.text("upstream")).collect(toImmutableSet());
    ImmutableList<LogLine> all =
        lines.stream()
            .filter(l -> processes.contains(l.process()))
            .filter(l -> !l.time().isBefore(from) && !l.time().isAfter(to))
            .filter(l -> l.concerns(requestId) || decidesOver(l, upstreams))
            .sorted(Comparator.comparing(LogLine::time))
            .collect(toImmutableList());
    return Optional.of(new RequestTimeline(requestId, own, all));
  }

  private static boolean decidesOver(LogLine line, ImmutableSet<String> upstreams) {
    return OF_THE_PROCESS.contains(line.name())
        || (OF_AN_UPSTREAM.contains(line.name()) && upstreams.contains(line.text("upstream")));
  }

  /** Returns the timeline as lines of text, with the outcome at the end. */
  public ImmutableList<String> format() {
    ImmutableList.Builder<String> text = ImmutableList.builder();
    Instant start = own.get(0).time();
    for (LogLine line : all) {
      String mark = line.concerns(requestId) ? "*" : " ";
      text.add(
          String.format(
              "%s %+9.3f s  %s  %s  %s",
              mark, line.secondsAfter(start), line.process(), line.name(), fields(line)));
    }
    text.add(outcome());
    if (all.stream().anyMatch(l -> l.name().equals(DROPPED))) {
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
              boolean repeats = f.getKey().equals("request");
              text.append(repeats ? "" : f.getKey() + "=" + f.getValue().asText() + " ");
            });
    return text.toString().trim();
  }

  /** Returns how the request ended, in a sentence. */
  public String outcome() {
    LogLine last = own.get(own.size() - 1);
    if (last.name().equals(REJECTED)) {
      return "rejected with status " + last.text("status") + ": " + last.text("reason");
    }
    if (!last.name().equals(ENDED)) {
      return "incomplete: no end of the request in these logs; the process was killed, dropped log"
          + " lines, or the log is cut off";
    }
    String sent = ", after " + last.text("sent") + " attempts that failed";
    return last.text("status").equals("0")
        ? "ended without a whole response: " + last.text("reason") + sent
        : "ended with status "
            + last.text("status")
            + " after "
            + last.text("millis")
            + " ms: "
            + last.text("reason")
            + sent;
  }
}
