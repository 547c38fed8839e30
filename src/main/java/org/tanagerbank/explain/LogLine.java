package org.tanagerbank.explain;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;

/**
 * One event that a process logged. Treated as immutable.
 *
 * @param time when the process logged it, by its own time of day
 * @param process the process, by what stands before the event in the log, or the name of the log
 * @param name the name of the event
 * @param fields what the event holds beside its time, level, number and name
 */
record LogLine(Instant time, String process, String name, ObjectNode fields) {
  boolean concerns(String requestId) {
    return text("request").equals(requestId);
  }

  String text(String field) {
    return fields.path(field).asText();
  }

  double secondsAfter(Instant start) {
    return Duration.between(start, time).toNanos() / 1e9;
  }
}
