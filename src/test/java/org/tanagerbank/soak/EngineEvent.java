package org.tanagerbank.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * A line of the record that all engines write. Immutable and thread-safe.
 *
 * @param atMicros the time of the event, in microseconds of the Unix epoch
 * @param engine the id of the engine
 * @param request the id of the request
 * @param status the status that the engine answered with; 0 if the event has none
 * @param deadlineMillis the time that the engine was given for the request, if any
 */
record EngineEvent(
    long atMicros,
    String engine,
    Kind kind,
    String request,
    int status,
    String path,
    OptionalLong deadlineMillis,
    String detail) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** What happened to a request at an engine. */
  enum Kind {
    /** The engine read the head of the request. */
    ARRIVED,
    /** The engine began to work on the request. */
    BEGAN,
    /** The request lost its slot and waits for another. */
    PREEMPTED,
    /** The engine answered that it did not run the request. */
    REFUSED,
    /** The engine ended its answer. */
    ENDED,
    /** The request ended without an answer. */
    DROPPED,
    /** The engine plays a fault. */
    FAULT
  }

  /**
   * Reads a record.
   *
   * @return the events in the order of their times
   * @throws IOException if the file cannot be read or a line is not an event
   */
  static List<EngineEvent> readAll(Path file) throws IOException {
    List<EngineEvent> events = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      events.add(parse(line));
    }
    events.sort(Comparator.comparingLong(EngineEvent::atMicros));
    return events;
  }

  static EngineEvent parse(String line) throws IOException {
    JsonNode node = MAPPER.readTree(line);
    if (!node.path("atMicros").isIntegralNumber()) {
      throw new IOException("a line of the engines' record is not an event: " + line);
    }
    JsonNode deadline = node.path("deadlineMillis");
    return new EngineEvent(
        node.path("atMicros").asLong(),
        node.path("engine").asText(),
        Kind.valueOf(node.path("event").asText()),
        node.path("request").asText(),
        node.path("status").asInt(),
        node.path("path").asText(),
        deadline.isIntegralNumber() ? OptionalLong.of(deadline.longValue()) : OptionalLong.empty(),
        node.path("detail").asText());
  }
}
