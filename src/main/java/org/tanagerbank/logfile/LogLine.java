package org.tanagerbank.logfile;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;

/**
 * An event that a process logged. Callers must not modify the fields.
 *
 * @param time the time of the event, by the clock of the process
 * @param process the name of the process: the last word before the event in its line, or the file
 *     name of the log if nothing precedes the event
 * @param name the name of the event
 * @param fields the fields of the event except its time, level, event number and name
 */
public record LogLine(Instant time, String process, String name, ObjectNode fields) {
  /** Returns whether the event belongs to a request. */
  public boolean concernsRequest(String requestId) {
    return text("request").equals(requestId);
  }

  /** Returns the value of a field as text, or an empty string if the field is missing. */
  public String text(String field) {
    return fields.path(field).asText();
  }

  /** Returns the time of the event after another time, in seconds. */
  public double secondsAfter(Instant start) {
    return Duration.between(start, time).toNanos() / 1e9;
  }

  /** Returns the value of a field as a whole number, or a default if the field has none. */
  public long number(String field, long defaultValue) {
    return fields.path(field).asLong(defaultValue);
  }
}
