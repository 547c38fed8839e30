package org.tanagerbank.logfile;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads the events in a log.
 *
 * <p>A line may have a prefix before its event, as added by tools that merge several logs. The last
 * word of the prefix then names the process. Lines without an event are ignored; incomplete and
 * invalid events are counted. Stateless and thread-safe.
 */
public final class LogReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Splitter WORDS = Splitter.on(' ').omitEmptyStrings().trimResults();
  private static final String EVENT_START = "{\"";
  private static final ImmutableSet<String> COMMON_FIELDS =
      ImmutableSet.of("time", "level", "event", "name");

  /** The number of malformed lines whose numbers are kept. */
  private static final int MAX_NAMED_LINES = 5;

  private LogReader() {}

  /**
   * The content of a log.
   *
   * @param lines the events in the order of the file
   * @param malformedLines the number of lines that begin an event but contain no complete one
   */
  public record Content(ImmutableList<LogLine> lines, long malformedLines) {}

  /**
   * The lines that begin an event but contain no complete one.
   *
   * @param count the number of such lines
   * @param first the numbers of the first ones in the file, from 1
   */
  public record Malformed(long count, ImmutableList<Long> first) {}

  /**
   * Reads the events in a log file.
   *
   * @throws IOException if the file cannot be read
   */
  public static Content read(Path file) throws IOException {
    ImmutableList.Builder<LogLine> lines = ImmutableList.builder();
    Malformed malformed = forEach(file, lines::add);
    return new Content(lines.build(), malformed.count());
  }

  /**
   * Passes the events in a log file to an action one by one, in bounded memory.
   *
   * @throws IOException if the file cannot be read
   */
  public static Malformed forEach(Path file, Consumer<LogLine> action) throws IOException {
    ImmutableList.Builder<Long> first = ImmutableList.builder();
    long malformedLines = 0;
    long number = 0;
    try (BufferedReader in = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1)) {
      for (String text = in.readLine(); text != null; text = in.readLine()) {
        number++;
        int eventStart = text.indexOf(EVENT_START);
        if (eventStart < 0) {
          continue;
        }
        Optional<LogLine> line = parse(text, eventStart, String.valueOf(file.getFileName()));
        if (line.isPresent()) {
          action.accept(line.get());
        } else if (++malformedLines <= MAX_NAMED_LINES) {
          first.add(number);
        }
      }
    }
    return new Malformed(malformedLines, first.build());
  }

  private static Optional<LogLine> parse(String text, int eventStart, String fileName) {
    String process = Iterables.getLast(WORDS.split(text.substring(0, eventStart)), fileName);
    try {
      JsonNode event = MAPPER.readTree(text.substring(eventStart));
      if (!(event instanceof ObjectNode fields) || !event.path("name").isTextual()) {
        return Optional.empty();
      }
      Instant time = Instant.parse(event.path("time").asText());
      String name = event.path("name").asText();
      fields.remove(COMMON_FIELDS);
      return Optional.of(new LogLine(time, process, name, fields));
    } catch (JsonProcessingException | DateTimeParseException e) {
      return Optional.empty();
    }
  }
}
